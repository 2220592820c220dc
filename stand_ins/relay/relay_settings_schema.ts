import * as z from "zod";
import { addressSchema } from "../common/address_schema.ts";

/** Settings of the relay. */
export const relaySettingsSchema = z.strictObject({
  listen: addressSchema.default("127.0.0.1:0"),
  /** Where a test steers the relay: `PUT /stand-in/mode`. */
  control: addressSchema.default("127.0.0.1:0"),
  target: addressSchema,
});
