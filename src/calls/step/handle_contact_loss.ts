import type { CallContext } from "../call_context.ts";
import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { queryOutcome } from "./query_outcome.ts";
import { endCall } from "./end_call.ts";
import { retryCall } from "./retry_call.ts";

/**
 * Handles a lost connection after the attempt was sent, which may have run. An
 * idempotent call is retried; for any other call the outcome is queried.
 */
export function handleContactLoss(
  state: CallState,
  context: CallContext,
  { before }: { readonly before: readonly CallEffect[] },
): CallStep {
  if (state.phase === CallPhase.Streaming) {
    return endCall(state, [...before, { kind: CallEffectKind.AbortResponse }]);
  }
  if (state.idempotent) {
    const step = retryCall(
      { ...state, mayHaveRun: true },
      context,
      {
        keySettled: false,
        refusal: createRefusal(
          RefusalReason.ContactLost,
          Outcome.Unknown,
          { now: context.now },
        ),
      },
    );
    return { ...step, effects: [...before, ...step.effects] };
  }
  return queryOutcome(state, context, { before });
}
