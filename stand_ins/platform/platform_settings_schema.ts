import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";

const documentedReadsPerSecond = 2000;

/** The schema of a platform stand-in's settings. */
export const platformSettingsSchema = z.strictObject({
  listen: addressSchema.default("127.0.0.1:0"),
  /** Reads beyond this rate receive status 503, as from an overloaded service. */
  readsPerSecondMaximum: z.int().min(1).default(documentedReadsPerSecond),
});
