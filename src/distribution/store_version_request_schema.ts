import { configurationPartSchema } from "../configuration/configuration_part_schema.ts";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { manifestSchema } from "../configuration/manifest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";
import { nameSchema } from "../configuration/name_schema.ts";

/** The schema of a request to store a version. */
export const storeVersionRequestSchema = createStrictObjectSchema({
  /** The VM of the requesting node. */
  vm: nameSchema,
  manifest: manifestSchema,
  /** The parts that the sender expects the receiver to lack. */
  parts: createListSchema(configurationPartSchema),
});
