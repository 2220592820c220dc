import type { GateState } from "../gate/gate_state.ts";
import { hasFreeSlot } from "../gate/has_free_slot.ts";
import { ServerCondition } from "../gate/server_condition.ts";

/** Whether the backend server of this VM can start a call now that no suspicion holds back. */
export function canStartAtOnce(gate: GateState, now: number): boolean {
  return gate.closedReason === undefined &&
    gate.condition !== ServerCondition.Down &&
    gate.queue.length === 0 && gate.suspects.size === 0 &&
    hasFreeSlot(gate, now);
}
