import type * as z from "zod";
import type { callerSettingsSchema } from "./caller_settings_schema.ts";

/** The validated settings of the caller. */
export type CallerSettings = z.infer<typeof callerSettingsSchema>;
