import type { QueuedSlotRequest } from "./queued_slot_request.ts";

/**
 * Orders waiting calls: the more urgent first; among equals those that can
 * still be answered within their goal before those that are late anyway, and
 * then the earlier goal.
 */
export function compareQueuedRequests(
  left: QueuedSlotRequest,
  right: QueuedSlotRequest,
  options: { readonly latestGoal: number },
): number {
  const urgency = left.request.priority - right.request.priority;
  if (urgency !== 0) return urgency;
  const lateness = Number(left.request.goalDeadline < options.latestGoal) -
    Number(right.request.goalDeadline < options.latestGoal);
  if (lateness !== 0) return lateness;
  return left.request.goalDeadline - right.request.goalDeadline;
}
