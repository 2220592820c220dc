import * as z from "zod";

/** The schema of one kind of call that a caller sends. */
export const callerServiceSchema = z.strictObject({
  service: z.string(),
  priority: z.string(),
  /** Path of the call; the caller adds token and size as query parameters. */
  path: z.string(),
  host: z.string().optional(),
  method: z.enum(["GET", "POST"]),
  /** Share of the calls, in proportion to the other weights. */
  weight: z.number().min(0),
  /** Size of the answer's body. */
  bytes: z.int().min(0).default(256),
  /** Whether each call carries an idempotency key. */
  keyed: z.boolean().default(false),
});
