import type { CallEffect } from "./call_effect.ts";
import type { CallState } from "./call_state.ts";

/** The outcome of one step: the new state and what has to be done, in order. */
export interface CallStep {
  readonly state: CallState;
  readonly effects: readonly CallEffect[];
}
