import { digestSchema } from "../configuration/digest_schema.ts";
import { createWholeNumberSchema } from "../configuration/create_whole_number_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/** The schema of a version in a control message. */
export const versionSchema = createStrictObjectSchema({
  number: createWholeNumberSchema(1, Number.MAX_SAFE_INTEGER),
  digest: digestSchema,
});
