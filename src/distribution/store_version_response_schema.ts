import { createListSchema } from "../configuration/create_list_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/** The schema of the response to a request to store a version. */
export const storeVersionResponseSchema = createStrictObjectSchema({
  /**
   * Digests of the parts that are still needed; empty if the node stores this
   * version, or a newer one, completely.
   */
  missing: createListSchema(digestSchema),
});
