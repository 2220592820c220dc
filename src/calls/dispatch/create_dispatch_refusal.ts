import { createRefusal } from "../create_refusal.ts";
import type { DispatchEffect } from "../dispatch_effect.ts";
import { DispatchEffectKind } from "../dispatch_effect_kind.ts";
import type { DispatchState } from "../dispatch_state.ts";
import { Outcome } from "../outcome.ts";
import { RefusalReason } from "../refusal_reason.ts";

/** Creates the effect that refuses an attempt. */
export function createDispatchRefusal(
  state: DispatchState,
  reason: RefusalReason,
  options: {
    readonly now: number;
    readonly retryAt?: number;
    readonly outcome: Outcome;
  },
): DispatchEffect {
  return {
    kind: DispatchEffectKind.Refuse,
    refusal: {
      refusal: createRefusal(reason, options.outcome, options),
      keySettled: state.keySettled,
    },
  };
}
