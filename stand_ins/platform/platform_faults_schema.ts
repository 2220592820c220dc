import * as z from "zod";

/** The schema of a platform stand-in's faults; an omitted field injects no fault. */
export const platformFaultsSchema = z.strictObject({
  /** Closes every reader's connection without a response. */
  outage: z.boolean().default(false),
  /** Returns this revision, whatever was published later; null returns the newest. */
  staleRevision: z.int().nullable().default(null),
  /** Returns the revision before the newest to every second read. */
  crossed: z.boolean().default(false),
  /** Age of the list of VMs that readers receive. */
  vmListLagMilliseconds: z.number().min(0).default(0),
  /** Delay before each response to a reader. */
  delayMilliseconds: z.number().min(0).default(0),
});
