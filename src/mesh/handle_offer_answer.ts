import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { noteAnswer } from "../balancing/note_answer.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import type { CallProgress } from "./call_progress.ts";
import { collectAnswerBody } from "./collect_answer_body.ts";
import type { MeshNode } from "./mesh_node.ts";
import { recordAnswerBytes } from "./record_answer_bytes.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { handleOfferLoss } from "./handle_offer_loss.ts";
import { tryStartRetry } from "./try_start_retry.ts";

const failureStatusMinimum = 500;

/**
 * Takes the answer of a backend server. A failure is kept and the call sent
 * once more where that is safe; returns undefined then.
 */
export async function handleOfferAnswer(
  node: MeshNode,
  progress: CallProgress,
  options: {
    readonly candidate: GateCandidate;
    readonly answered: Extract<
      OfferOutcome,
      { readonly kind: OfferOutcomeKind.Answered }
    >;
    readonly offeredAt: number;
  },
): Promise<CallResult | undefined> {
  const { candidate, answered } = options;
  const body = await collectAnswerBody(answered);
  if (body.isErr) {
    return handleOfferLoss(node, progress, { candidate, reason: body.error });
  }
  progress.attempts += 1;
  // The end of an answer without a length may be its end, or a break.
  const failed = answered.status >= failureStatusMinimum || !answered.framed;
  const route = progress.plan.route.name;
  noteAnswer(candidate.view, {
    route,
    elapsedMilliseconds: node.clock.now() - options.offeredAt,
    failed,
    now: node.clock.now(),
  });
  recordAnswerBytes(node, { route, bytes: body.value.held.byteLength });
  const result: CallResult = {
    kind: CallResultKind.Answered,
    status: answered.status,
    headers: answered.headers,
    body: body.value,
    backendServer: candidate.entry.identifier,
  };
  if (!failed) return result;
  // A failure of its own comes after the backend server has begun to run the request.
  progress.mayHaveRun = true;
  if (!tryStartRetry(node, progress)) return result;
  progress.fallback = result;
  return undefined;
}
