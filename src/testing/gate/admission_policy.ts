import type { GateState } from "../../gate/gate_state.ts";
import type { QueueSettlement } from "../../gate/queue_settlement.ts";
import type { SlotDecision } from "../../gate/slot_decision.ts";
import type { SlotRequest } from "../../gate/slot_request.ts";

/** How a gate gives out its slots in a simulated overload. */
export interface AdmissionPolicy {
  request(
    state: GateState,
    request: SlotRequest,
    options: { readonly now: number },
  ): SlotDecision;
  processQueue(state: GateState, now: number): QueueSettlement;
}
