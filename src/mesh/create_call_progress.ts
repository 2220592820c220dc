import type { CallPlan } from "./call_plan.ts";
import type { CallProgress } from "./call_progress.ts";

/** Creates the state of a call before its first offer. */
export function createCallProgress(plan: CallPlan): CallProgress {
  return {
    plan,
    attempts: 0,
    mayHaveRun: false,
    excluded: new Set(),
    reportedWaits: new Map(),
    fullRefusals: 0,
    lastReason: undefined,
    fallback: undefined,
    isWaitingRound: false,
  };
}
