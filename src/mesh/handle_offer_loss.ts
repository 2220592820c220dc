import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { recordAnswer } from "../balancing/record_answer.ts";
import { recordContactFailure } from "../balancing/record_contact_failure.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import type { ContactLossCause } from "../offers/contact_loss_cause.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportOffer } from "./report_offer.ts";
import { tryStartRetry } from "./try_start_retry.ts";

/**
 * Handles a loss of contact or a broken answer, after which the call may have
 * run. Returns undefined if the call is retried or was cancelled.
 */
export function handleOfferLoss(
  node: MeshNode,
  progress: CallProgress,
  options: {
    readonly candidate: GateCandidate;
    readonly reason: RefusalReason;
    /** Undefined unless contact with the other node was lost. */
    readonly cause?: ContactLossCause | undefined;
    readonly offeredAt: number;
  },
): CallResult | undefined {
  const { candidate, reason, cause, offeredAt } = options;
  progress.attempts += 1;
  progress.mayHaveRun = true;
  progress.lastReason = reason;
  if (progress.plan.signal.aborted) return undefined;
  const kind = CallEventKind.OfferLost;
  reportOffer(node, progress, { kind, candidate, reason, cause, offeredAt });
  if (reason === RefusalReason.ContactLost) {
    recordContactFailure(candidate.view, node.clock.now());
  }
  recordAnswer(candidate.view, {
    route: progress.plan.route.name,
    elapsedMilliseconds: 0,
    failed: true,
    now: node.clock.now(),
  });
  if (tryStartRetry(node, progress)) return undefined;
  return progress.fallback ?? createCallRefusal(node, progress);
}
