import type * as z from "zod";
import type { callerServiceSchema } from "./caller_service_schema.ts";

/** The validated settings of one kind of call that a caller sends. */
export type CallerService = z.infer<typeof callerServiceSchema>;
