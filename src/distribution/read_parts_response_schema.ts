import { configurationPartSchema } from "../configuration/configuration_part_schema.ts";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/**
 * The schema of the response to a request for parts. Parts that the node does
 * not store are omitted.
 */
export const readPartsResponseSchema = createStrictObjectSchema({
  parts: createListSchema(configurationPartSchema),
});
