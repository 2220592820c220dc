import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { recordAnswer } from "../balancing/record_answer.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { collectAnswerBody } from "./collect_answer_body.ts";
import { handleOfferLoss } from "./handle_offer_loss.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";
import { recordAnswerBytes } from "./record_answer_bytes.ts";
import { tryStartRetry } from "./try_start_retry.ts";

const failureStatusMinimum = 500;

/**
 * Handles the answer of a backend server. A failed answer is kept as the
 * fallback and the call is retried if that is safe; returns undefined in that
 * case.
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
  const { candidate, answered, offeredAt } = options;
  const body = await collectAnswerBody(answered);
  if (body.isErr) {
    const reason = body.error;
    return handleOfferLoss(node, progress, { candidate, reason, offeredAt });
  }
  progress.attempts += 1;
  // Without a length, the end of an answer may be its regular end or a break.
  const failed = answered.status >= failureStatusMinimum || !answered.framed;
  const route = progress.plan.route.name;
  recordAnswer(candidate.view, {
    route,
    elapsedMilliseconds: node.clock.now() - offeredAt,
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
  // A backend server that returns a failure has begun to run the request.
  progress.mayHaveRun = true;
  if (!tryStartRetry(node, progress)) return result;
  progress.fallback = result;
  return undefined;
}
