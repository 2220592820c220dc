import type { DispatchEffect } from "./dispatch_effect.ts";
import type { DispatchState } from "./dispatch_state.ts";

/** The outcome of one step: the new state and what has to be done, in order. */
export interface DispatchStep {
  readonly state: DispatchState;
  readonly effects: readonly DispatchEffect[];
}
