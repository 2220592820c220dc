import { HolderKind } from "../address_holder/holder_kind.ts";
import { applyProbeAnswer } from "./apply_probe_answer.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Applies the answer to the last probe once it is known that the backend server
 * which gave it belongs to the node's service.
 */
export function applyConfirmedAnswer(node: MeshNode): void {
  const { addressHolder: { kind, latest }, serverProbe } = node;
  const answer = serverProbe.unconfirmedAnswer;
  if (answer === undefined || kind !== HolderKind.Own) return;
  serverProbe.unconfirmedAnswer = undefined;
  // A rejection may have named another one since.
  if (answer.head.identifier !== latest?.identifier) return;
  applyProbeAnswer(node, answer);
}
