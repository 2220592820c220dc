import type { CallContext } from "../call_context.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import type { NodeRefusal } from "../node_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseCall } from "./refuse_call.ts";
import { retryCall } from "./retry_call.ts";

/**
 * Handles the refusal of an attempt by another node: the call is retried unless
 * the attempt may have run or the reason is final.
 */
export function handleRefusal(
  state: CallState,
  nodeRefusal: NodeRefusal,
  context: CallContext,
): CallStep {
  if (nodeRefusal.refusal.outcome === Outcome.Unknown && !state.idempotent) {
    return refuseCall({ ...state, mayHaveRun: true }, nodeRefusal.refusal);
  }
  const next = {
    ...state,
    mayHaveRun: state.mayHaveRun ||
      nodeRefusal.refusal.outcome === Outcome.Unknown,
  };
  return isFinalReason(nodeRefusal.refusal.reason)
    ? refuseCall({ ...next, lastRefusal: nodeRefusal }, nodeRefusal.refusal)
    : retryCall(next, context, nodeRefusal);
}

/** Returns whether another backend server would refuse for this reason too. */
function isFinalReason(reason: RefusalReason): boolean {
  return reason === RefusalReason.KeyMismatch ||
    reason === RefusalReason.KeyRunning ||
    reason === RefusalReason.KeyUnsettled ||
    reason === RefusalReason.DeadlinePassed;
}
