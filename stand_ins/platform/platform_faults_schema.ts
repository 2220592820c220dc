import * as z from "zod";

/** The faults of the platform's stand-in; a field that is left out is without fault. */
export const platformFaultsSchema = z.strictObject({
  /** Drops every connection without an answer. */
  outage: z.boolean().default(false),
  /** Answers with this revision, whatever was published later; null for the newest. */
  staleRevision: z.int().nullable().default(null),
  /** Answers every second read with the revision before the newest. */
  crossed: z.boolean().default(false),
  /** How old the list of VMs is that readers get. */
  vmListLagMilliseconds: z.number().min(0).default(0),
  /** How long each answer is held back. */
  delayMilliseconds: z.number().min(0).default(0),
});
