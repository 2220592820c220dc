import type { CallPlan } from "./call_plan.ts";

/** Share of the goal that an answer is assumed to take. */
const answerShare = 0.4;
/** Share of the time left after which a call comes back that is late anyway. */
const lateReturnShare = 0.25;
/** Callers that were refused together come back spread over this share of the wait. */
const spreadShare = 0.5;

/**
 * Returns in how many milliseconds a refused caller does best to come back.
 *
 * While its goal can still be met: when a slot is expected to be free. After
 * that an answer is worth the same at any moment before the deadline, so the
 * caller comes back when the load may have passed. Pattern: overload, in
 * which callers that return at once take the slots of those in time.
 */
export function getReturnMilliseconds(
  plan: CallPlan,
  options: {
    readonly waitMilliseconds: number;
    readonly now: number;
    /** From 0 to 1. */
    readonly spread: number;
  },
): number {
  const { waitMilliseconds, now, spread } = options;
  const answeredAt = now + waitMilliseconds +
    plan.route.goalMilliseconds * answerShare;
  const wait = answeredAt <= plan.goalDeadline
    ? waitMilliseconds
    : Math.max(waitMilliseconds, (plan.deadline - now) * lateReturnShare);
  return wait * (1 + spread * spreadShare);
}
