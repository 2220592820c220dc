import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { isFullReason } from "../balancing/is_full_reason.ts";
import { recordAnswer } from "../balancing/record_answer.ts";
import { recordContactFailure } from "../balancing/record_contact_failure.ts";
import { recordGateRefusal } from "../balancing/record_gate_refusal.ts";
import { isGateFull } from "../capacity/is_gate_full.ts";
import { recordFullGate } from "../capacity/record_full_gate.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import { createQuarantineRefusal } from "./create_quarantine_refusal.ts";
import { getServiceCapacity } from "./get_service_capacity.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { reportOffer } from "./report_offer.ts";
import { tryStartRetry } from "./try_start_retry.ts";

/**
 * Handles a refusal: the call has not run at the candidate. The next offer
 * costs an attempt and a retry only if the request had reached the backend
 * server. Returns undefined if the call is offered again or was cancelled.
 */
export function handleOfferRefusal(
  node: MeshNode,
  progress: CallProgress,
  options: {
    readonly candidate: GateCandidate;
    readonly refused: Extract<
      OfferOutcome,
      { readonly kind: OfferOutcomeKind.Refused }
    >;
    readonly offeredAt: number;
  },
): CallResult | undefined {
  const { candidate, refused, offeredAt } = options;
  const { entry, view } = candidate;
  const { reason, retryMilliseconds } = refused;
  const now = node.clock.now();
  progress.lastReason = reason;
  if (progress.plan.signal.aborted) return undefined;
  const kind = CallEventKind.OfferRefused;
  reportOffer(node, progress, { kind, candidate, reason, offeredAt });
  if (reason === RefusalReason.RequestQuarantined) {
    return createQuarantineRefusal(progress, { retryMilliseconds });
  }
  if (refused.load === undefined) recordContactFailure(view, now);
  else recordGateRefusal(view, { reason, retryMilliseconds, now });
  if (isFullReason(reason)) {
    progress.fullRefusals += 1;
    progress.reportedWaits.set(entry.identifier, retryMilliseconds);
    if (!progress.isWaitingRound) progress.excluded.delete(entry.identifier);
    if (!refused.reachedBackendServer && isGateFull(refused)) {
      recordFullGate(getServiceCapacity(node, entry.service), {
        identifier: entry.identifier,
        waitMilliseconds: retryMilliseconds,
        priority: progress.plan.priority,
        now,
      });
    }
  }
  if (!refused.reachedBackendServer) return undefined;
  progress.attempts += 1;
  recordAnswer(view, {
    route: progress.plan.route.name,
    elapsedMilliseconds: 0,
    failed: true,
    now,
  });
  if (tryStartRetry(node, progress)) return undefined;
  return progress.fallback ?? createCallRefusal(node, progress);
}
