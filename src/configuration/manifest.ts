import type * as z from "zod";
import type { manifestSchema } from "./manifest_schema.ts";

/** Names the parts that make up one version. The version's digest is the manifest's. */
export type Manifest = z.infer<typeof manifestSchema>;
