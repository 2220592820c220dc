import type * as z from "zod";
import type { basePartSchema } from "./base_part_schema.ts";

/** Zones, names of services in the order of the register, and the rules. */
export type BasePart = z.infer<typeof basePartSchema>;
