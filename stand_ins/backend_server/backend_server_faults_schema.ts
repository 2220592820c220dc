import * as z from "zod";

/** The faults of a backend server stand-in; a field that is left out is without fault. */
export const backendServerFaultsSchema = z.strictObject({
  /** `cut` ends the connection in the middle of an answer, `rubbish` answers with bytes that are not HTTP, `silent` never answers, `slow` takes ten times as long. */
  answers: z.enum(["whole", "cut", "rubbish", "silent", "slow"]).default(
    "whole",
  ),
  /** Every how manieth call the fault meets. */
  every: z.int().min(1).default(1),
  /** What `/health` says whatever the state is; null for the truth. */
  reportedState: z.enum(["ready", "cold", "draining"]).nullable().default(null),
  /** What `/load` says whatever runs; null for the truth. */
  reportedRunning: z.int().min(0).nullable().default(null),
});
