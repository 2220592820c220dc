import { configurationPartSchema } from "../configuration/configuration_part_schema.ts";
import { createListSchema } from "../configuration/create_list_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/** The shape of the answer to a request for parts; parts that the node lacks are left out. */
export const readPartsAnswerSchema = createStrictObjectSchema({
  parts: createListSchema(configurationPartSchema),
});
