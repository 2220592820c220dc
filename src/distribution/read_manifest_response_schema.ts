import { manifestSchema } from "../configuration/manifest_schema.ts";
import { createStrictObjectSchema } from "../diagnostics/create_strict_object_schema.ts";

/**
 * The schema of the response to a request for the manifest of the highest
 * version.
 */
export const readManifestResponseSchema = createStrictObjectSchema({
  /** Absent if the node advertises no version. */
  manifest: manifestSchema.optional(),
});
