import { manifestSchema } from "../configuration/manifest_schema.ts";
import { createStrictObject } from "../diagnostics/create_strict_object.ts";

/**
 * The schema of the answer to a request for the manifest of the highest
 * version.
 */
export const readManifestAnswerSchema = createStrictObject({
  /** Absent if the node advertises no version. */
  manifest: manifestSchema.optional(),
});
