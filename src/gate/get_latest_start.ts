import type { GateState } from "./gate_state.ts";
import { getWorkMilliseconds } from "./get_work_milliseconds.ts";
import type { SlotRequest } from "./slot_request.ts";

/** Returns until when a call must get its slot, as an instant: its caller waits no longer, or it would end after its deadline. */
export function getLatestStart(
  state: GateState,
  request: SlotRequest,
): number {
  return Math.min(
    request.waitDeadline,
    request.deadline - getWorkMilliseconds(state, request.route),
  );
}
