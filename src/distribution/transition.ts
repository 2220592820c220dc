import type { DistributionEffect } from "./distribution_effect.ts";
import type { DistributionState } from "./distribution_state.ts";

/** What a step gives: the state that follows and what is to be done. */
export interface Transition {
  readonly state: DistributionState;
  readonly effects: readonly DistributionEffect[];
}
