import { forgetIncarnation } from "../gate/forget_incarnation.ts";
import { ServerCondition } from "../gate/server_condition.ts";
import type { MeshNode } from "./mesh_node.ts";
import { processWaitingCalls } from "./process_waiting_calls.ts";
import { reportStatementChange } from "./report_statement_change.ts";

/**
 * Records the observed condition of the backend server. A backend server that
 * recovers begins a cold start.
 */
export function setServerCondition(
  node: MeshNode,
  condition: ServerCondition,
): void {
  const { gate, serverProbe, settings, view } = node;
  if (gate.condition === condition) return;
  const previous = gate.condition;
  gate.condition = condition;
  node.report.state("backend-server", { previous, condition });
  if (condition === ServerCondition.Down) {
    serverProbe.nextProbeAt = Math.min(
      serverProbe.nextProbeAt,
      node.clock.now(),
    );
  }
  const hasRecovered = condition === ServerCondition.Up &&
    previous === ServerCondition.Down;
  if (hasRecovered) {
    const cold = view.rules?.services.get(settings.service)?.coldMilliseconds;
    reportStatementChange(node, () => forgetIncarnation(gate));
    gate.coldUntil = Math.max(gate.coldUntil, node.clock.now() + (cold ?? 0));
    gate.coldBucket.tokens = 0;
    gate.coldBucket.refilledAt = node.clock.now();
  }
  processWaitingCalls(node);
}
