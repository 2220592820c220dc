import type * as z from "zod";
import type { basePartSchema } from "./base_part_schema.ts";

/** The part that contains the zones, the service names in register order and the rules. */
export type BasePart = z.infer<typeof basePartSchema>;
