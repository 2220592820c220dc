import type { CallContext } from "../call_context.ts";
import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";

/** How long the outcome of a lost try may stay unanswered. */
const settlementMilliseconds = 1000;

/** Asks the node that had the lost try what became of it. */
export function askOutcome(
  state: CallState,
  context: CallContext,
  { before }: { readonly before: readonly CallEffect[] },
): CallStep {
  const deadline = Math.min(
    state.deadline,
    context.now + settlementMilliseconds,
  );
  return {
    state: {
      ...state,
      phase: CallPhase.Settling,
      questionsAsked: state.questionsAsked + 1,
      wakeAt: state.deadline,
    },
    effects: [...before, { kind: CallEffectKind.Settle, deadline }],
  };
}
