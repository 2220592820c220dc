import { setStatedLimit } from "../gate/set_stated_limit.ts";
import { StatedLimitKind } from "../gate/stated_limit_kind.ts";
import type { GateOffer } from "./gate_offer.ts";
import { getOwnServerIdentifier } from "./get_own_server_identifier.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportStatementChange } from "./report_statement_change.ts";

/**
 * Adopts the limit of the backend server of this VM that the offering node knows,
 * if no answer has told this node about it yet: a node that has restarted has
 * forgotten it.
 */
export function adoptStatedLimit(node: MeshNode, offer: GateOffer): void {
  const { gate } = node;
  const { callsPerSecondLimit, identifier } = offer;
  if (callsPerSecondLimit === undefined) return;
  if (gate.statedLimit.kind !== StatedLimitKind.Unknown) return;
  if (identifier !== (getOwnServerIdentifier(node) ?? identifier)) return;
  reportStatementChange(node, () =>
    setStatedLimit(gate, {
      callsPerSecond: callsPerSecondLimit,
      now: node.clock.now(),
    }));
}
