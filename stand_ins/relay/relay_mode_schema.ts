import * as z from "zod";

/** What a relay does with connections. */
export const relayModeSchema = z.strictObject({
  /** `refuse` closes new connections at once. */
  newConnections: z.enum(["pass", "refuse", "silent"]).default("pass"),
  /** What happens, now and once, to the connections that are open: nothing, silence for good, the end, or a reset. */
  openConnections: z.enum(["pass", "silent", "cut", "reset"]).default("pass"),
  /** Drops what targets send, while what clients send still arrives. */
  oneWay: z.boolean().default(false),
  /** How long each piece of data is held back. */
  delayMilliseconds: z.number().min(0).default(0),
});
