import type * as z from "zod";
import type { platformFaultsSchema } from "./platform_faults_schema.ts";

/** The validated faults of a platform stand-in. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
