import * as z from "zod";
import { feedItemSchema } from "./feed_item_schema.ts";
import type { Withdrawals } from "./withdrawals.ts";

/** Validates the reply of a neighbour with what it knows as withdrawn. */
export const withdrawalsSchema = z.object({
  era: z.number().optional(),
  items: z.array(feedItemSchema),
  removed: z.array(feedItemSchema),
  zonesHeldMilliseconds: z.number().min(0),
}) satisfies z.ZodType<Withdrawals>;
