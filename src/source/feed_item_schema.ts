import * as z from "zod";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { rulesChangeSchema } from "../routing/rules_change_schema.ts";
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

/** Validates an item that another node sends. */
export const feedItemSchema = z.object({
  key: z.string(),
  revision: z.number(),
  fact: valueSchema.optional(),
});
