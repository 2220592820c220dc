import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import type { Refusal } from "../refusal.ts";
import { endCall } from "./end_call.ts";
import { refuseCall } from "./refuse_call.ts";

/**
 * Cancels the current attempt and refuses the call, or aborts the response if
 * it is being streamed. A cancelled attempt may have run.
 */
export function abortCall(state: CallState, refusal: Refusal): CallStep {
  const cancel: CallEffect = { kind: CallEffectKind.CancelAttempt };
  if (state.phase === CallPhase.Streaming) {
    return endCall(state, [cancel, { kind: CallEffectKind.AbortResponse }]);
  }
  const wasSent = state.phase !== CallPhase.Choosing;
  const step = refuseCall(
    { ...state, mayHaveRun: state.mayHaveRun || wasSent },
    refusal,
  );
  return { ...step, effects: [cancel, ...step.effects] };
}
