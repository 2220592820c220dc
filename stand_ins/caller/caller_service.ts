import type * as z from "zod";
import type { callerServiceSchema } from "./caller_service_schema.ts";

/** One kind of call that a caller makes. */
export type CallerService = z.infer<typeof callerServiceSchema>;
