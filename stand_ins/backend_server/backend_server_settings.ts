import type * as z from "zod";
import type { backendServerSettingsSchema } from "./backend_server_settings_schema.ts";

/** The validated settings of a backend server stand-in. */
export type BackendServerSettings = z.infer<typeof backendServerSettingsSchema>;
