import type * as z from "zod";
import type { manifestSchema } from "./manifest_schema.ts";

/**
 * Lists the names and digests of the parts of one version. The digest of the
 * manifest is the digest of the version.
 */
export type Manifest = z.infer<typeof manifestSchema>;
