import * as z from "zod";
import { feedItemSchema } from "./feed_item_schema.ts";
import type { FeedLine } from "./feed_line.ts";

/** Validates a line of a neighbour's feed. */
export const feedLineSchema = z.object({
  sentAt: z.number(),
  ageMilliseconds: z.number(),
  rulesAgeMilliseconds: z.number().optional(),
  era: z.number(),
  revision: z.number(),
  items: z.array(feedItemSchema),
  heldMilliseconds: z.number(),
  gap: z.boolean(),
}) satisfies z.ZodType<FeedLine>;
