import type * as z from "zod";
import type { platformFaultsSchema } from "./platform_faults_schema.ts";

/** The faults of the platform's stand-in. */
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
