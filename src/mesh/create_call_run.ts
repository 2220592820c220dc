import type { CallPlan } from "./call_plan.ts";
import type { CallRun } from "./call_run.ts";

/** Creates the run of a call that was not offered to anybody yet. */
export function createCallRun(plan: CallPlan): CallRun {
  return {
    plan,
    attempts: 0,
    mayHaveRun: false,
    asked: new Set(),
    waits: new Map(),
    fullRefusals: 0,
    lastReason: undefined,
    fallback: undefined,
    mayWait: false,
  };
}
