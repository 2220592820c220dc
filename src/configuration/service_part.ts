import type * as z from "zod";
import type { servicePartSchema } from "./service_part_schema.ts";

/** The part that contains the backend servers of one service in register order. */
export type ServicePart = z.infer<typeof servicePartSchema>;
