import { createListSchema } from "../configuration/create_list_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/** The schema of a request for parts by digest. */
export const readPartsRequestSchema = createStrictObjectSchema({
  digests: createListSchema(digestSchema),
});
