import * as z from "zod";

/** The schema of a backend server stand-in's faults; an omitted field injects no fault. */
export const backendServerFaultsSchema = z.strictObject({
  /**
   * `whole` sends complete answers, `cut` closes the connection in the middle of
   * an answer, `rubbish` sends bytes that are not HTTP, `silent` never answers,
   * `slow` multiplies the service time by ten.
   */
  answers: z.enum(["whole", "cut", "rubbish", "silent", "slow"]).default(
    "whole",
  ),
  /** The fault applies to every `every`-th call. */
  every: z.int().min(1).default(1),
  /** State that `/health` reports in place of the actual one; null reports the actual state. */
  reportedState: z.enum(["ready", "cold", "draining"]).nullable().default(null),
  /** Number of running calls that `/load` reports in place of the actual one; null reports the actual number. */
  reportedRunning: z.int().min(0).nullable().default(null),
});
