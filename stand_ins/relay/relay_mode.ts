import type * as z from "zod";
import type { relayModeSchema } from "./relay_mode_schema.ts";

/** The validated mode of a relay: what it does with connections. */
export type RelayMode = z.infer<typeof relayModeSchema>;
