import type { GateCandidate } from "../balancing/gate_candidate.ts";
import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallEventKind } from "./call_event_kind.ts";
import type { CallProgress } from "./call_progress.ts";
import type { ContactLossCause } from "../offers/contact_loss_cause.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Reports an offer that did not end with an answer, with the last load reported
 * by the candidate.
 */
export function reportOffer(
  node: MeshNode,
  progress: CallProgress,
  options: {
    readonly kind: CallEventKind;
    readonly candidate: GateCandidate;
    readonly reason: RefusalReason;
    /** Undefined unless contact was lost. */
    readonly cause?: ContactLossCause | undefined;
    /** In milliseconds since the Unix epoch. */
    readonly offeredAt: number;
  },
): void {
  const { entry, view } = options.candidate;
  const { routeService: _, ...load } = view.load ?? {};
  node.report.call({
    kind: options.kind,
    call: progress.plan.callIdentifier,
    route: progress.plan.route.name,
    service: progress.plan.service,
    backendServer: entry.identifier,
    reason: options.reason,
    ...(options.cause === undefined ? {} : { cause: options.cause }),
    elapsedMilliseconds: Math.round(node.clock.now() - options.offeredAt),
    attempts: progress.attempts,
    ...load,
  });
}
