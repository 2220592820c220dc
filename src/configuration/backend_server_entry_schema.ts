import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { configurationLimits } from "./configuration_limits.ts";
import { createWholeNumberSchema } from "./create_whole_number_schema.ts";
import { nameSchema } from "./name_schema.ts";
import { networkAddressSchema } from "./network_address_schema.ts";

/** The schema of a backend server in a configuration document. */
export const backendServerEntrySchema = createStrictObjectSchema({
  name: nameSchema,
  service: nameSchema,
  zone: nameSchema,
  vm: nameSchema,
  address: networkAddressSchema,
  nodeAddress: networkAddressSchema,
  slots: createWholeNumberSchema(1, configurationLimits.maxSlots),
  coldSlots: createWholeNumberSchema(1, configurationLimits.maxSlots),
  connections: createWholeNumberSchema(1, configurationLimits.maxConnections),
});
