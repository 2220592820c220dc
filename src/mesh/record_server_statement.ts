import type { BackendAnswerHead } from "./backend_answer_head.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Records what the backend server of this VM states in an answer. */
export function recordServerStatement(
  node: MeshNode,
  { callsPerSecondLimit, leaving }: BackendAnswerHead,
): void {
  const previous = node.serverStatement;
  node.serverStatement = { callsPerSecondLimit, leaving };
  const isSame = previous.callsPerSecondLimit === callsPerSecondLimit &&
    previous.leaving === leaving;
  if (isSame) return;
  node.report.state("backend-server", {
    callsPerSecondLimit: callsPerSecondLimit ?? null,
    leaving,
  });
}
