import type { GateState } from "./gate_state.ts";
import { getWorkMilliseconds } from "./get_work_milliseconds.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Orders waiting calls: the more urgent first; among equals those that can
 * still be answered within their goal before those that are late anyway; then
 * those whose caller cannot try again, since work stands behind them; then the
 * newest. While more calls come than slots get free, the newest is the
 * likeliest to be answered in time; the oldest first would make all late.
 */
export function compareQueuedRequests(
  left: QueuedSlotRequest,
  right: QueuedSlotRequest,
  options: { readonly state: GateState; readonly now: number },
): number {
  const isLate = ({ goalDeadline, route }: SlotRequest) =>
    goalDeadline < options.now + getWorkMilliseconds(options.state, route);
  const urgency = left.request.priority - right.request.priority;
  if (urgency !== 0) return urgency;
  const lateness = Number(isLate(left.request)) -
    Number(isLate(right.request));
  if (lateness !== 0) return lateness;
  const chances = Number(left.request.mayComeBack) -
    Number(right.request.mayComeBack);
  return chances !== 0 ? chances : right.queuedAt - left.queuedAt;
}
