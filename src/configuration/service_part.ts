import type * as z from "zod";
import type { servicePartSchema } from "./service_part_schema.ts";

/** The backend servers of one service, in the order of the register. */
export type ServicePart = z.infer<typeof servicePartSchema>;
