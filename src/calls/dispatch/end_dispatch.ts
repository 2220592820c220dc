import type { DispatchEffect } from "../dispatch_effect.ts";
import { DispatchPhase } from "../dispatch_phase.ts";
import type { DispatchState } from "../dispatch_state.ts";
import type { DispatchStep } from "../dispatch_step.ts";

/** Ends the attempt with its last effects. */
export function endDispatch(
  state: DispatchState,
  effects: readonly DispatchEffect[],
): DispatchStep {
  return { state: { ...state, phase: DispatchPhase.Ended }, effects };
}
