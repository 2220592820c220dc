import type * as z from "zod";
import type { backendServerFaultsSchema } from "./backend_server_faults_schema.ts";

/** The validated faults of a backend server stand-in. */
export type BackendServerFaults = z.infer<typeof backendServerFaultsSchema>;
