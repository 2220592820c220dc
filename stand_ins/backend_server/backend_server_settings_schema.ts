import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";

/** Settings of a backend server stand-in. */
export const backendServerSettingsSchema = z.strictObject({
  listen: addressSchema.default("127.0.0.1:0"),
  name: z.string(),
  slots: z.int().min(1),
  coldSlots: z.int().min(1),
  /** How many connections it accepts; further ones are closed at once. */
  connections: z.int().min(1).default(120),
  /** How many whole answers warm the backend server up. */
  warmUpAnswers: z.int().min(1).default(60),
  /** How long it sheds everything after full load while cold. */
  fallMilliseconds: z.number().min(0).default(2000),
  /** How long one call runs: a number between the two, drawn by seed. */
  workMilliseconds: z.tuple([z.number(), z.number()]).default([5, 20]),
  /** How long a cancelled call still holds its slot. */
  letGoMilliseconds: z.number().min(0).default(0),
  startsCold: z.boolean().default(true),
  seed: z.int().default(1),
});
