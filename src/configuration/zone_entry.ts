import type { z } from "zod";
import type { zoneEntrySchema } from "./zone_entry_schema.ts";

/** An availability zone as published. */
export type ZoneEntry = z.infer<typeof zoneEntrySchema>;
