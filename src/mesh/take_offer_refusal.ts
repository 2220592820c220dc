import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { isFullReason } from "../balancing/is_full_reason.ts";
import { noteAnswer } from "../balancing/note_answer.ts";
import { noteContactFailure } from "../balancing/note_contact_failure.ts";
import { noteGateRefusal } from "../balancing/note_gate_refusal.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallRun } from "./call_run.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { reportOffer } from "./report_offer.ts";
import { tryRepeatCall } from "./try_repeat_call.ts";

/**
 * Takes a refusal: the call has not run there. Only where it had reached the
 * backend server does asking the next one cost an attempt and a repeat.
 */
export function takeOfferRefusal(
  node: MeshNode,
  run: CallRun,
  options: {
    readonly candidate: GateCandidate;
    readonly refused: Extract<
      OfferOutcome,
      { readonly kind: OfferOutcomeKind.Refused }
    >;
  },
): CallEnd | undefined {
  const { candidate, refused } = options;
  const { entry, view } = candidate;
  const { reason, retryMilliseconds } = refused;
  const now = node.clock.now();
  run.lastReason = reason;
  if (run.plan.signal.aborted) return undefined;
  const kind = CallEventKind.OfferRefused;
  reportOffer(node, run, { kind, candidate, reason });
  if (refused.load === undefined) noteContactFailure(view, now);
  else noteGateRefusal(view, { reason, retryMilliseconds, now });
  if (isFullReason(reason)) {
    run.fullRefusals += 1;
    run.waits.set(entry.identifier, retryMilliseconds);
    if (!run.mayWait) run.asked.delete(entry.identifier);
  }
  if (!refused.reachedBackendServer) return undefined;
  run.attempts += 1;
  noteAnswer(view, {
    route: run.plan.route.name,
    elapsedMilliseconds: 0,
    failed: true,
    now,
  });
  if (tryRepeatCall(node, run)) return undefined;
  return run.fallback ?? createCallRefusal(node, run);
}
