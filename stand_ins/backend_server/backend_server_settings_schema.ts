import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";

/** The schema of a backend server stand-in's settings. */
export const backendServerSettingsSchema = z.strictObject({
  listen: addressSchema.default("127.0.0.1:0"),
  name: z.string(),
  slots: z.int().min(1),
  coldSlots: z.int().min(1),
  /** The maximum number of open connections; further ones are closed immediately. */
  connections: z.int().min(1).default(120),
  /** Number of complete answers after which the backend server is no longer cold. */
  warmUpAnswers: z.int().min(1).default(60),
  /** How long the backend server sheds every call after a collapse, which full load causes while it is cold. */
  fallMilliseconds: z.number().min(0).default(2000),
  /** The minimum and maximum service time of a call; the time of each call is drawn from a random sequence that `seed` determines. */
  workMilliseconds: z.tuple([z.number(), z.number()]).default([5, 20]),
  /** How long a cancelled call continues to occupy its slot. */
  letGoMilliseconds: z.number().min(0).default(0),
  startsCold: z.boolean().default(true),
  seed: z.int().default(1),
});
