import type { GateState } from "../../gate/gate_state.ts";
import type { QueueResult } from "../../gate/queue_result.ts";
import type { SlotDecision } from "../../gate/slot_decision.ts";
import type { SlotRequest } from "../../gate/slot_request.ts";

/** How a gate gives out its slots in a simulated overload. */
export interface OverloadAdmission {
  request(
    state: GateState,
    request: SlotRequest,
    options: { readonly now: number },
  ): SlotDecision;
  settle(state: GateState, now: number): QueueResult;
}
