import * as z from "zod";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { rulesChangeSchema } from "../routing/rules_change_schema.ts";
import type { FeedLine } from "./feed_line.ts";
import { SourceValueKind } from "./source_value_kind.ts";

const entrySchema = z.object({
  identifier: z.string(),
  service: z.string(),
  address: z.object({ host: z.string(), port: z.number() }),
  zone: z.string(),
  slots: z.number(),
  availability: z.enum(BackendServerAvailability),
  bornAt: z.number(),
  sequence: z.number(),
});

const valueSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(SourceValueKind.Rules),
    change: rulesChangeSchema,
  }),
  z.object({
    kind: z.literal(SourceValueKind.ZoneTakenOut),
    zone: z.string(),
  }),
  z.object({
    kind: z.literal(SourceValueKind.BackendServer),
    entry: entrySchema,
    coldMilliseconds: z.number(),
  }),
  z.object({ kind: z.literal(SourceValueKind.Foreign), found: z.string() }),
]);

const itemSchema = z.object({
  key: z.string(),
  revision: z.number(),
  fact: valueSchema.optional(),
});

/** Validates a line of a neighbour's feed. */
export const feedLineSchema = z.object({
  sentAt: z.number(),
  ageMilliseconds: z.number(),
  era: z.number(),
  revision: z.number(),
  items: z.array(itemSchema),
  heldMilliseconds: z.number(),
  gap: z.boolean(),
}) satisfies z.ZodType<FeedLine>;
