import { getStatedCallsPerSecond } from "../gate/get_stated_calls_per_second.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Applies a change of what is known of the backend server's own statements, and
 * reports it if it has an effect.
 */
export function reportStatementChange(
  node: MeshNode,
  applyChange: () => void,
): void {
  const { gate } = node;
  const getLimit = () => getStatedCallsPerSecond(gate.statedLimit) ?? null;
  const previousLimit = getLimit();
  const wasLeaving = gate.departure !== undefined;
  applyChange();
  const callsPerSecondLimit = getLimit();
  const leaving = gate.departure !== undefined;
  if (callsPerSecondLimit === previousLimit && leaving === wasLeaving) return;
  node.report.state("backend-server", { callsPerSecondLimit, leaving });
}
