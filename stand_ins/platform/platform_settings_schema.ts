import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";

const statedReadsPerSecond = 2000;

/** Settings of the platform's stand-in. */
export const platformSettingsSchema = z.strictObject({
  listen: addressSchema.default("127.0.0.1:0"),
  /** Reads beyond this rate are answered 503, as an overloaded service would. */
  readsPerSecondMaximum: z.int().min(1).default(statedReadsPerSecond),
});
