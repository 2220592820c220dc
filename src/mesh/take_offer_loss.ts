import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { noteAnswer } from "../balancing/note_answer.ts";
import { noteContactFailure } from "../balancing/note_contact_failure.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEventKind } from "./call_event_kind.ts";
import type { CallRun } from "./call_run.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportOffer } from "./report_offer.ts";
import { tryRepeatCall } from "./try_repeat_call.ts";

/** Takes a loss of contact or a broken answer: the call may have run. */
export function takeOfferLoss(
  node: MeshNode,
  run: CallRun,
  options: {
    readonly candidate: GateCandidate;
    readonly reason: RefusalReason;
  },
): CallEnd | undefined {
  const { candidate, reason } = options;
  run.attempts += 1;
  run.mayHaveRun = true;
  run.lastReason = reason;
  if (run.plan.signal.aborted) return undefined;
  const kind = CallEventKind.OfferLost;
  reportOffer(node, run, { kind, candidate, reason });
  if (reason === RefusalReason.ContactLost) {
    noteContactFailure(candidate.view, node.clock.now());
  }
  noteAnswer(candidate.view, {
    route: run.plan.route.name,
    elapsedMilliseconds: 0,
    failed: true,
    now: node.clock.now(),
  });
  if (tryRepeatCall(node, run)) return undefined;
  return run.fallback ?? createCallRefusal(node, run);
}
