import type { GateState } from "../../gate/gate_state.ts";
import type { QueueResult } from "../../gate/queue_result.ts";
import type { SlotDecision } from "../../gate/slot_decision.ts";
import type { SlotRequest } from "../../gate/slot_request.ts";

/** How a gate admits calls in a simulated overload. */
export interface AdmissionPolicy {
  /** Decides on a new call. */
  request(
    state: GateState,
    request: SlotRequest,
    options: { readonly now: number },
  ): SlotDecision;
  /** Grants free slots to queued calls and refuses those that waited too long. */
  processQueue(state: GateState, now: number): QueueResult;
}
