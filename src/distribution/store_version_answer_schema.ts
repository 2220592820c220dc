import { createListSchema } from "../configuration/create_list_schema.ts";
import { digestSchema } from "../configuration/digest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/** The shape of the answer to a request to hold a version. */
export const storeVersionAnswerSchema = createStrictObjectSchema({
  /** The parts still needed; empty where the version, or a newer one, is held whole. */
  missing: createListSchema(digestSchema),
});
