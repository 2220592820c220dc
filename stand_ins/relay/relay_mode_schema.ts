import { z } from "zod";

/** What a relay does with connections. */
export const relayModeSchema = z.strictObject({
  /** `refuse` closes new connections at once. */
  newConnections: z.enum(["pass", "refuse", "silent"]).default("pass"),
  /** What happens, now and once, to the connections that are open: nothing, silence for good, or the end. */
  openConnections: z.enum(["pass", "silent", "cut"]).default("pass"),
  /** How long each piece of data is held back. */
  delayMilliseconds: z.number().min(0).default(0),
});
