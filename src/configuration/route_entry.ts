import type { z } from "zod";
import type { routeEntrySchema } from "./route_entry_schema.ts";

/** A route as published. */
export type RouteEntry = z.infer<typeof routeEntrySchema>;
