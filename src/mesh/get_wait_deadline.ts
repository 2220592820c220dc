import type { GateCandidate } from "../balancing/gate_candidate.ts";
import type { CallProgress } from "./call_progress.ts";

/** Share of the goal that the best candidate may let a call wait before others are asked. */
const firstWaitShare = 0.12;
/** Share of the goal that a call may wait which is late anyway. */
const lateWaitShare = 0.25;
/** Share of the goal that an answer is assumed to take where none was seen. */
const defaultAnswerShare = 0.3;

/**
 * Returns until when an offered call may wait for a slot; now for not at all.
 *
 * A call waits as long as it can still be answered within its goal. Waiting
 * longer would hold it without a promise: its caller is told when to come
 * back instead.
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
  // A call without a second chance, such as one that a backend server makes
  // for a caller of its own: refusing it would waste the work behind it.
  if (!plan.mayComeBack) return plan.deadline - answerMilliseconds;
  const latestWithinGoal = plan.goalDeadline - answerMilliseconds;
  const latestPastGoal = now + goalMilliseconds * lateWaitShare;
  return Math.min(plan.deadline, Math.max(latestWithinGoal, latestPastGoal));
}
