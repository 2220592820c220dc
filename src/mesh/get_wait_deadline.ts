import type { GateCandidate } from "../balancing/gate_candidate.ts";
import type { CallProgress } from "./call_progress.ts";

/**
 * Share of the goal that a call may wait at the best candidate before it is
 * offered to others.
 */
const firstWaitShare = 0.12;
/** Share of the goal that a call may wait if it misses the goal anyway. */
const lateWaitShare = 0.25;
/** Share of the goal that an answer is assumed to take if none was observed. */
const defaultAnswerShare = 0.3;

/**
 * Returns the instant until which an offered call may wait for a slot; `now` if
 * it must not wait.
 *
 * A call waits as long as it can still be answered within its goal, or briefly
 * if it cannot. A longer wait could not meet the goal, so the caller is refused
 * with a retry time instead.
 */
export function getWaitDeadline(
  progress: CallProgress,
  options: { readonly candidate: GateCandidate; readonly now: number },
): number {
  const { plan } = progress;
  const { candidate, now } = options;
  const { goalMilliseconds, name } = plan.route;
  if (!progress.isWaitingRound) {
    const isFirst = progress.excluded.size === 0 &&
      progress.reportedWaits.size === 0;
    return isFirst ? now + goalMilliseconds * firstWaitShare : now;
  }
  const answerMilliseconds = candidate.view.answerMilliseconds.get(name) ??
    goalMilliseconds * defaultAnswerShare;
  // The caller cannot retry, for example a backend server that calls for its
  // own caller: a refusal would waste the work that led to the call.
  if (!plan.mayComeBack) return plan.deadline - answerMilliseconds;
  const latestWithinGoal = plan.goalDeadline - answerMilliseconds;
  const latestPastGoal = now + goalMilliseconds * lateWaitShare;
  return Math.min(plan.deadline, Math.max(latestWithinGoal, latestPastGoal));
}
