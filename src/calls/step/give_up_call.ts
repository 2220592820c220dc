import type { CallEffect } from "../call_effect.ts";
import { CallEffectKind } from "../call_effect_kind.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";
import type { Refusal } from "../refusal.ts";
import { endCall } from "./end_call.ts";
import { refuseFinally } from "./refuse_finally.ts";

/** Ends the call with its current try still open. */
export function giveUpCall(state: CallState, refusal: Refusal): CallStep {
  const cancel: CallEffect = { kind: CallEffectKind.CancelTry };
  if (state.phase === CallPhase.Streaming) {
    return endCall(state, [cancel, { kind: CallEffectKind.BreakCaller }]);
  }
  const open = state.phase !== CallPhase.Choosing;
  const step = refuseFinally(
    { ...state, mayHaveRun: state.mayHaveRun || open },
    refusal,
  );
  return { ...step, effects: [cancel, ...step.effects] };
}
