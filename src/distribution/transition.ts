import type { DistributionEffect } from "./distribution_effect.ts";
import type { DistributionState } from "./distribution_state.ts";

/** The result of a step: the next state, and the effects to execute. */
export interface Transition {
  readonly state: DistributionState;
  readonly effects: readonly DistributionEffect[];
}
