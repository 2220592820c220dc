import { forgetIncarnation } from "../gate/forget_incarnation.ts";
import { getGateClosedReason } from "../gate/get_gate_closed_reason.ts";
import { setColdRate } from "../gate/set_cold_rate.ts";
import { applyConfirmedAnswer } from "./apply_confirmed_answer.ts";
import { findOwnServerRecord } from "./find_own_server_record.ts";
import type { MeshNode } from "./mesh_node.ts";
import { processWaitingCalls } from "./process_waiting_calls.ts";
import { reportStatementChange } from "./report_statement_change.ts";
import { updateAddressHolder } from "./update_address_holder.ts";

/**
 * Updates the gate from the view: slots, cold start, and whether it is open.
 */
export function updateGate(node: MeshNode): void {
  const { gate, settings, view } = node;
  const now = node.clock.now();
  updateAddressHolder(node);
  const record = findOwnServerRecord(node);
  if (record !== undefined) {
    gate.slots = Math.max(1, record.entry.slots);
    gate.coldUntil = Math.max(gate.coldUntil, record.entry.coldUntil);
    recordBirth(node, record.entry.bornAt);
  }
  // After the birth, which makes the node forget what was stated before.
  applyConfirmedAnswer(node);
  const service = view.rules?.services.get(settings.service);
  if (service !== undefined) {
    setColdRate(gate, {
      callsPerSecond: service.coldCallsPerSecond,
      allowance: settings.coldAllowance,
    });
  }
  gate.closedReason = getGateClosedReason({
    record,
    zoneTakenOut: view.zonesTakenOut.has(settings.zone),
    departure: gate.departure,
    isLearningWithdrawals: node.isLearningWithdrawals,
    stopping: node.gateClosesAt <= now,
    holder: node.addressHolder.kind,
  }, now);
  processWaitingCalls(node);
}

/** Records when the incarnation in the register started. */
function recordBirth(node: MeshNode, bornAt: number): void {
  const { gate } = node;
  const isNewIncarnation = gate.bornAt > 0 && bornAt > gate.bornAt;
  gate.bornAt = Math.max(gate.bornAt, bornAt);
  if (!isNewIncarnation) return;
  reportStatementChange(node, () => forgetIncarnation(gate));
}
