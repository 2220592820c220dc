import type { CallEffect } from "./call_effect.ts";
import type { CallState } from "./call_state.ts";

/** The result of one step: the new state and the effects to perform, in order. */
export interface CallStep {
  readonly state: CallState;
  readonly effects: readonly CallEffect[];
}
