import type { CallContext } from "../call_context.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { createRefusal } from "../create_refusal.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";
import { retryCall } from "./retry_call.ts";

/**
 * Handles an attempt that was not sent and so has not run: the node is avoided
 * and the call is retried.
 */
export function handleUnsentAttempt(
  state: CallState,
  context: CallContext,
  options: { readonly processGone: boolean },
): CallStep {
  const step = retryCall(state, context, {
    keySettled: false,
    refusal: createRefusal(
      RefusalReason.BackendServerDown,
      Outcome.NotRun,
      { now: context.now },
    ),
  });
  return {
    ...step,
    effects: [
      { kind: CallEffectKind.AvoidNode, ...options },
      ...step.effects,
    ],
  };
}
