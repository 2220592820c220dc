import type { CallEffect } from "../call_effect.ts";
import { CallPhase } from "../call_phase.ts";
import type { CallState } from "../call_state.ts";
import type { CallStep } from "../call_step.ts";

/** Ends the call with its last effects. */
export function endCall(
  state: CallState,
  effects: readonly CallEffect[],
): CallStep {
  return {
    state: { ...state, phase: CallPhase.Ended, wakeAt: Infinity },
    effects,
  };
}
