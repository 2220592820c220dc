import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";

/** The schema of a relay's settings. */
export const relaySettingsSchema = z.strictObject({
  listen: addressSchema.default("127.0.0.1:0"),
  /** Address on which the relay listens for control requests: `PUT /stand-in/mode`. */
  control: addressSchema.default("127.0.0.1:0"),
  target: addressSchema,
});
