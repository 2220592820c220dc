import type { DispatchEffect } from "./dispatch_effect.ts";
import type { DispatchState } from "./dispatch_state.ts";

/** The result of one step: the new state and the effects to perform, in order. */
export interface DispatchStep {
  readonly state: DispatchState;
  readonly effects: readonly DispatchEffect[];
}
