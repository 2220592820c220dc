import type { QueuedSlotRequest } from "./queued_slot_request.ts";

/**
 * Orders waiting calls: the more urgent first; among equals those that can
 * still be answered within their goal before those that are late anyway, and
 * then the newest. While more calls come than slots get free, the newest is
 * the likeliest to be answered in time; the oldest first would make all late.
 */
export function compareQueuedRequests(
  left: QueuedSlotRequest,
  right: QueuedSlotRequest,
  options: {
    /** The earliest goal, as an instant, that a call which starts now can meet. */
    readonly earliestGoal: number;
  },
): number {
  const urgency = left.request.priority - right.request.priority;
  if (urgency !== 0) return urgency;
  const lateness = Number(left.request.goalDeadline < options.earliestGoal) -
    Number(right.request.goalDeadline < options.earliestGoal);
  if (lateness !== 0) return lateness;
  return right.queuedAt - left.queuedAt;
}
