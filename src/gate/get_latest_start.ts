import type { GateState } from "./gate_state.ts";
import { getRouteServiceMilliseconds } from "./get_route_service_milliseconds.ts";
import type { SlotRequest } from "./slot_request.ts";

/**
 * Returns the instant by which a call must get a slot: the end of its wait, or
 * the last start from which it still ends before its deadline.
 */
export function getLatestStart(
  state: GateState,
  request: SlotRequest,
): number {
  return Math.min(
    request.waitDeadline,
    request.deadline - getRouteServiceMilliseconds(state, request.route),
  );
}
