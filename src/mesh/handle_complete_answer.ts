import type { GateCandidate } from "../balancing/gate_candidate.ts";
import { recordAnswer } from "../balancing/record_answer.ts";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { CallKind } from "../routing/call_kind.ts";
import type { AnswerBody } from "./answer_body.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { CallResultKind } from "./call_result_kind.ts";
import { handleOfferLoss } from "./handle_offer_loss.ts";
import type { MeshNode } from "./mesh_node.ts";
import { promisesNotRun } from "./promises_not_run.ts";
import { recordAnswerBytes } from "./record_answer_bytes.ts";
import { tryStartRetry } from "./try_start_retry.ts";

const failureStatusMinimum = 500;

/**
 * Handles an answer that is complete, or whose first part has arrived. A rejection
 * of a non-idempotent call that the backend server has not confirmed counts as a
 * loss: its status would promise the caller that the call has not run. A failed
 * answer is kept as the fallback and the call is retried if that is safe; returns
 * undefined in that case.
 */
export function handleCompleteAnswer(
  node: MeshNode,
  progress: CallProgress,
  options: {
    readonly candidate: GateCandidate;
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: AnswerBody;
    readonly offeredAt: number;
  },
): CallResult | undefined {
  const { candidate, status, headers, body, offeredAt } = options;
  if (isUnconfirmedRejection(progress, status)) {
    body.rest?.destroy();
    const reason = RefusalReason.RejectionUnconfirmed;
    return handleOfferLoss(node, progress, { candidate, reason, offeredAt });
  }
  progress.attempts += 1;
  // Without a length, the end of an answer may be its regular end or a break.
  const failed = status >= failureStatusMinimum || !body.framed;
  const route = progress.plan.route.name;
  recordAnswer(candidate.view, {
    route,
    elapsedMilliseconds: node.clock.now() - offeredAt,
    failed,
    now: node.clock.now(),
  });
  recordAnswerBytes(node, { route, bytes: body.held.byteLength });
  const result: CallResult = {
    kind: CallResultKind.Answered,
    status,
    headers,
    body,
    backendServer: candidate.entry.identifier,
  };
  if (!failed) return result;
  // A backend server that returns a failure has begun to run the request.
  progress.mayHaveRun = true;
  if (!tryStartRetry(node, progress)) return result;
  progress.fallback = result;
  return undefined;
}

/** Confirmed rejections are no answers; they end the offer with a refusal. */
function isUnconfirmedRejection(
  { plan }: CallProgress,
  status: number,
): boolean {
  return plan.route.kind !== CallKind.Idempotent && promisesNotRun(status);
}
