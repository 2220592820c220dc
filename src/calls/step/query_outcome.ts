import type { CallContext } from "../call_context.ts";
import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";

/** Timeout of an outcome query. */
const queryTimeoutMilliseconds = 1000;

/** Queries the outcome of the current attempt, whose connection was lost. */
export function queryOutcome(
  state: CallState,
  context: CallContext,
  { before }: { readonly before: readonly CallEffect[] },
): CallStep {
  const deadline = Math.min(
    state.deadline,
    context.now + queryTimeoutMilliseconds,
  );
  return {
    state: {
      ...state,
      phase: CallPhase.Settling,
      outcomeQueryCount: state.outcomeQueryCount + 1,
      wakeAt: state.deadline,
    },
    effects: [...before, { kind: CallEffectKind.QueryOutcome, deadline }],
  };
}
