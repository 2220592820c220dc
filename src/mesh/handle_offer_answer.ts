import type { GateCandidate } from "../balancing/gate_candidate.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { collectAnswerBody } from "./collect_answer_body.ts";
import { handleCompleteAnswer } from "./handle_complete_answer.ts";
import { handleOfferLoss } from "./handle_offer_loss.ts";
import type { MeshNode } from "./mesh_node.ts";
import type { OfferOutcome } from "./offer_outcome.ts";
import type { OfferOutcomeKind } from "./offer_outcome_kind.ts";

/**
 * Reads the answer of a backend server and handles it. Returns undefined if the
 * call is retried or was cancelled.
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
  const { status, headers } = answered;
  return handleCompleteAnswer(node, progress, {
    candidate,
    status,
    headers,
    body: body.value,
    offeredAt,
  });
}
