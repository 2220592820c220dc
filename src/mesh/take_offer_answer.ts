import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { noteAnswer } from "../balancing/note_answer.ts";
import type { CallEnd } from "./call_end.ts";
import { CallEndKind } from "./call_end_kind.ts";
import type { CallRun } from "./call_run.ts";
import { collectAnswerBody } from "./collect_answer_body.ts";
import type { MeshNode } from "./mesh_node.ts";
import { noteAnswerBytes } from "./note_answer_bytes.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { takeOfferLoss } from "./take_offer_loss.ts";
import { tryRepeatCall } from "./try_repeat_call.ts";

const failureStatusMinimum = 500;

/**
 * Takes the answer of a backend server. A failure is kept and the call sent
 * once more where that is safe; returns undefined then.
 */
export async function takeOfferAnswer(
  node: MeshNode,
  run: CallRun,
  options: {
    readonly candidate: GateCandidate;
    readonly answered: Extract<
      OfferOutcome,
      { readonly kind: OfferOutcomeKind.Answered }
    >;
    readonly offeredAt: number;
  },
): Promise<CallEnd | undefined> {
  const { candidate, answered } = options;
  const body = await collectAnswerBody(answered);
  if (body.isErr) {
    return takeOfferLoss(node, run, { candidate, reason: body.error });
  }
  run.attempts += 1;
  // The end of an answer without a length may be its end, or a break.
  const failed = answered.status >= failureStatusMinimum || !answered.framed;
  const route = run.plan.route.name;
  noteAnswer(candidate.view, {
    route,
    elapsedMilliseconds: node.clock.now() - options.offeredAt,
    failed,
    now: node.clock.now(),
  });
  noteAnswerBytes(node, { route, bytes: body.value.held.byteLength });
  const end: CallEnd = {
    kind: CallEndKind.Answered,
    status: answered.status,
    headers: answered.headers,
    body: body.value,
    backendServer: candidate.entry.identifier,
  };
  if (!failed) return end;
  // A failure of its own comes after the backend server has begun to run the request.
  run.mayHaveRun = true;
  if (!tryRepeatCall(node, run)) return end;
  run.fallback = end;
  return undefined;
}
