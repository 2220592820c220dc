import type { CallContext } from "../call_context.ts";
import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import { refusePastDeadline } from "./refuse_past_deadline.ts";

/** Starts the next attempt, unless the deadline has passed. */
export function startAttempt(
  state: CallState,
  context: CallContext,
  { before }: { readonly before: readonly CallEffect[] },
): CallStep {
  if (context.now >= state.deadline) {
    return refusePastDeadline(state, context);
  }
  const attempt = state.attempt + 1;
  return {
    state: {
      ...state,
      phase: CallPhase.Choosing,
      attempt,
      wakeAt: state.deadline,
    },
    effects: [...before, {
      kind: CallEffectKind.StartAttempt,
      attempt,
      excluded: state.excluded,
    }],
  };
}
