import type { CallContext } from "../call_context.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import type { NodeRefusal } from "../node_refusal.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { refuseAfterTries } from "./refuse_after_tries.ts";
import { refuseLate } from "./refuse_late.ts";
import { tryNext } from "./try_next.ts";

const maximumAttempts = 4;

/** Tries elsewhere after a try that did not run, or that may run again. */
export function tryElsewhere(
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
    return refuseLate(next, context);
  }
  if (state.attempt >= maximumAttempts) {
    return refuseAfterTries(next, last.refusal);
  }
  if (!context.retryAllowed) {
    return refuseAfterTries(
      next,
      createRefusal(RefusalReason.RetryBudgetSpent, last.refusal.outcome, {
        now: context.now,
        retryAt: last.refusal.retryAt,
      }),
    );
  }
  return tryNext(next, context, {
    before: [{ kind: CallEffectKind.SpendRetry }],
  });
}
