import { manifestSchema } from "../configuration/manifest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/** The shape of the answer to a request for the highest manifest held. */
export const readManifestAnswerSchema = createStrictObjectSchema({
  /** Absent where the node holds no version. */
  manifest: manifestSchema.optional(),
});
