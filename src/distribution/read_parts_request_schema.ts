import { createListSchema } from "../configuration/create_list_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObject } from "../diagnostics/create_strict_object.ts";

/** The schema of a request for parts by digest. */
export const readPartsRequestSchema = createStrictObject({
  digests: createListSchema(digestSchema),
});
