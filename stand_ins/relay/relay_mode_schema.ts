import * as z from "zod";

/** The schema of a relay's mode; an omitted field injects no fault. */
export const relayModeSchema = z.strictObject({
  /** `refuse` closes new connections at once; `silent` accepts them and drops their data. */
  newConnections: z.enum(["pass", "refuse", "silent"]).default("pass"),
  /**
   * Applied once, to the connections that are open when the mode is set: `silent`
   * drops their data from then on, `cut` closes them, `reset` resets them.
   */
  openConnections: z.enum(["pass", "silent", "cut", "reset"]).default("pass"),
  /** Drops data from the target to clients; data from clients is still forwarded. */
  oneWay: z.boolean().default(false),
  /** Delay before each chunk of data is forwarded. */
  delayMilliseconds: z.number().min(0).default(0),
});
