import * as z from "zod";

/** One kind of call that a caller makes. */
export const callerServiceSchema = z.strictObject({
  service: z.string(),
  priority: z.string(),
  /** Path of the call; token and size are added as query. */
  path: z.string(),
  host: z.string().optional(),
  method: z.enum(["GET", "POST"]),
  /** Share of the calls, in proportion to the other weights. */
  weight: z.number().min(0),
  bytes: z.int().min(0).default(256),
  /** Whether each call carries an idempotency key. */
  keyed: z.boolean().default(false),
});
