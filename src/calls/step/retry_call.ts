import type { CallContext } from "../call_context.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import type { NodeRefusal } from "../node_refusal.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseAfterAttempts } from "./refuse_after_attempts.ts";
import { refusePastDeadline } from "./refuse_past_deadline.ts";
import { startAttempt } from "./start_attempt.ts";

const maximumAttempts = 4;

/**
 * Sends the call to another backend server after an attempt that did not run or
 * that may run again. Refuses the call if its deadline, the maximum number of
 * attempts or the retry budget does not permit a retry.
 */
export function retryCall(
  state: CallState,
  context: CallContext,
  last: NodeRefusal,
): CallStep {
  const next: CallState = {
    ...state,
    lastRefusal: last,
    excluded: state.backendServer === undefined
      ? state.excluded
      : [...state.excluded, state.backendServer],
  };
  if (context.now >= state.deadline) {
    return refusePastDeadline(next, context);
  }
  if (state.attempt >= maximumAttempts) {
    return refuseAfterAttempts(next, last.refusal);
  }
  if (!context.retryAllowed) {
    return refuseAfterAttempts(
      next,
      createRefusal(RefusalReason.RetryBudgetSpent, last.refusal.outcome, {
        now: context.now,
        retryAt: last.refusal.retryAt,
      }),
    );
  }
  return startAttempt(next, context, {
    before: [{ kind: CallEffectKind.SpendRetry }],
  });
}
