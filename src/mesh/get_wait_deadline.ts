import type { CallPlan } from "./call_plan.ts";
import type { CallRun } from "./call_run.ts";

/** Share of the goal that the best candidate may let a call wait before others are asked. */
const firstWaitShare = 0.12;

/** Returns until when an offered call may wait for a slot; now for not at all. */
export function getWaitDeadline(
  plan: CallPlan,
  run: CallRun,
  now: number,
): number {
  if (run.mayWait) return plan.deadline;
  if (run.asked.size > 0) return now;
  return now + plan.route.goalMilliseconds * firstWaitShare;
}
