import type { GateState } from "./gate_state.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Compares two queued calls; a negative result puts `left` first. The order is
 * by priority, then calls that can still be answered within their goal before
 * late ones, then calls whose caller cannot retry, since refusing them wastes
 * the work behind them, then the newest first. Under overload the newest call
 * is the likeliest to be answered in time; serving the oldest first would make
 * every call late.
 */
export function compareQueuedRequests(
  left: QueuedSlotRequest,
  right: QueuedSlotRequest,
  options: { readonly state: GateState; readonly now: number },
): number {
  const isLate = ({ goalDeadline, route }: SlotRequest) =>
    goalDeadline <
      options.now + getRouteServiceMilliseconds(options.state, route);
  const priorityOrder = left.request.priority - right.request.priority;
  if (priorityOrder !== 0) return priorityOrder;
  const latenessOrder = Number(isLate(left.request)) -
    Number(isLate(right.request));
  if (latenessOrder !== 0) return latenessOrder;
  const retryOrder = Number(left.request.mayComeBack) -
    Number(right.request.mayComeBack);
  return retryOrder !== 0 ? retryOrder : right.queuedAt - left.queuedAt;
}
