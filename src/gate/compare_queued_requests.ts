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
  const isBeyondShare = ({ shareKey }: SlotRequest) =>
    keysBeyondShare.has(shareKey);
  const getTurn = ({ request, queuedAt }: QueuedSlotRequest) =>
    queuedAt +
    getRouteServiceMilliseconds(state, request.route) * serviceTimeWeight;
  const { request: first } = left;
  const { request: second } = right;
  return compareFlags(second.isNested, first.isNested) ||
    first.priority - second.priority ||
    compareFlags(isLate(first), isLate(second)) ||
    compareFlags(isBeyondShare(first), isBeyondShare(second)) ||
    compareFlags(first.mayComeBack, second.mayComeBack) ||
    getTurn(left) - getTurn(right);
}

/** A negative result puts a false `left` before a true `right`. */
function compareFlags(left: boolean, right: boolean): number {
  return Number(left) - Number(right);
}
