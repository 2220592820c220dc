import type { CallContext } from "../call_context.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import type { NodeRefusal } from "../node_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseFinally } from "./refuse_finally.ts";
import { tryElsewhere } from "./try_elsewhere.ts";

/** Takes the refusal of another node. */
export function takeRefusal(
  state: CallState,
  answer: NodeRefusal,
  context: CallContext,
): CallStep {
  if (answer.refusal.outcome === Outcome.Unknown && !state.idempotent) {
    return refuseFinally({ ...state, mayHaveRun: true }, answer.refusal);
  }
  const next = {
    ...state,
    mayHaveRun: state.mayHaveRun || answer.refusal.outcome === Outcome.Unknown,
  };
  return isFinalReason(answer.refusal.reason)
    ? refuseFinally({ ...next, lastRefusal: answer }, answer.refusal)
    : tryElsewhere(next, context, answer);
}

/** Reasons that another backend server would give too. */
function isFinalReason(reason: RefusalReason): boolean {
  return reason === RefusalReason.KeyMismatch ||
    reason === RefusalReason.KeyRunning ||
    reason === RefusalReason.KeyUnsettled ||
    reason === RefusalReason.DeadlinePassed;
}
