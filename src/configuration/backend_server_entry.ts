import type * as z from "zod";
import type { backendServerEntrySchema } from "./backend_server_entry_schema.ts";

/** A backend server as written in a configuration document. */
export type BackendServerEntry = z.infer<typeof backendServerEntrySchema>;
