import type { GateCandidate } from "../balancing/gate_candidate.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallEventKind } from "./call_event_kind.ts";
import type { CallRun } from "./call_run.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Reports an offer that did not end with an answer, with the load that was told. */
export function reportOffer(
  node: MeshNode,
  run: CallRun,
  options: {
    readonly kind: CallEventKind;
    readonly candidate: GateCandidate;
    readonly reason: RefusalReason;
  },
): void {
  const { entry, view } = options.candidate;
  node.report.call({
    kind: options.kind,
    call: run.plan.callIdentifier,
    route: run.plan.route.name,
    service: run.plan.service,
    backendServer: entry.identifier,
    reason: options.reason,
    attempts: run.attempts,
    ...view.load,
  });
}
