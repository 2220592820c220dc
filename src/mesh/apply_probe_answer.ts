import { ServerCondition } from "../gate/server_condition.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { ProbeAnswer } from "./probe_answer.ts";
import { recordServerStatement } from "./record_server_statement.ts";
import { setServerCondition } from "./set_server_condition.ts";

/** Applies what the backend server of this VM states in the answer to a probe. */
export function applyProbeAnswer(node: MeshNode, answer: ProbeAnswer): void {
  const { head, answeredAt } = answer;
  setServerCondition(node, ServerCondition.Up);
  recordServerStatement(node, head, { ranSince: undefined });
  if (head.coldMilliseconds === undefined) return;
  node.gate.coldUntil = answeredAt + head.coldMilliseconds;
}
