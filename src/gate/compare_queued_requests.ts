import type { GateState } from "./gate_state.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Multiple of its service time by which a call may be later than a call that
 * needs no time. Goals of short calls are nearer than those of long ones.
 */
const serviceTimeWeight = 3;

/**
 * Compares two queued calls; a negative result puts `left` first. Nested calls
 * come first whatever their priority, since refusing them wastes the calls that
 * wait for them. The order of the others is by priority, then calls that can
 * still be answered within their goal before late ones, then callers that have at
 * most their share of the slots, then calls whose caller cannot retry. Of the
 * rest, a short call comes before a long one that arrived at the same time, and a
 * long one before calls that arrive much later.
 */
export function compareQueuedRequests(
  left: QueuedSlotRequest,
  right: QueuedSlotRequest,
  options: {
    readonly state: GateState;
    /** The callers that have more than their share of the slots. */
    readonly keysBeyondShare: ReadonlySet<string>;
    readonly now: number;
  },
): number {
  const { state, keysBeyondShare, now } = options;
  const isLate = ({ goalDeadline, route }: SlotRequest) =>
    goalDeadline < now + getRouteServiceMilliseconds(state, route);
  const getTurn = ({ request, queuedAt }: QueuedSlotRequest) =>
    queuedAt +
    getRouteServiceMilliseconds(state, request.route) * serviceTimeWeight;
  const nestedOrder = Number(right.request.isNested) -
    Number(left.request.isNested);
  if (nestedOrder !== 0) return nestedOrder;
  const priorityOrder = left.request.priority - right.request.priority;
  if (priorityOrder !== 0) return priorityOrder;
  const latenessOrder = Number(isLate(left.request)) -
    Number(isLate(right.request));
  if (latenessOrder !== 0) return latenessOrder;
  const shareOrder = Number(keysBeyondShare.has(left.request.shareKey)) -
    Number(keysBeyondShare.has(right.request.shareKey));
  if (shareOrder !== 0) return shareOrder;
  const retryOrder = Number(left.request.mayComeBack) -
    Number(right.request.mayComeBack);
  return retryOrder !== 0 ? retryOrder : getTurn(left) - getTurn(right);
}
