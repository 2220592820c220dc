import { recordRejectedIdentifier } from "../address_holder/record_rejected_identifier.ts";
import type { ClockReading } from "../runtime/clock_reading.ts";
import type { BackendAnswerHead } from "./backend_answer_head.ts";
import type { MeshNode } from "./mesh_node.ts";
import { recordAddressHolder } from "./record_address_holder.ts";
import { scheduleEarlyProbe } from "./schedule_early_probe.ts";
import { updateGate } from "./update_gate.ts";

/**
 * Records that another incarnation is at the address than the one that a request
 * named. The gate closes unless that one belongs to the node's service.
 */
export function recordMisdirection(
  node: MeshNode,
  options: {
    readonly head: BackendAnswerHead;
    readonly sentAt: ClockReading;
    /** Identifier of the incarnation that the request named. */
    readonly target: string;
  },
): void {
  const { head: { identifier }, sentAt, target } = options;
  if (identifier === undefined) {
    recordRejectedIdentifier(node.addressHolder, target);
  } else {
    recordAddressHolder(node, { identifier, requestedAt: sentAt });
  }
  scheduleEarlyProbe(node);
  updateGate(node);
}
