import { manifestSchema } from "../configuration/manifest_schema.ts";
import { createStrictObject } from "../diagnostics/create_strict_object.ts";

/** The shape of the answer to a request for the highest manifest held. */
export const readManifestAnswerSchema = createStrictObject({
  /** Absent where the node holds no version. */
  manifest: manifestSchema.optional(),
});
