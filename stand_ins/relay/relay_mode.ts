import type * as z from "zod";
import type { relayModeSchema } from "./relay_mode_schema.ts";

/** What a relay does with connections. */
export type RelayMode = z.infer<typeof relayModeSchema>;
