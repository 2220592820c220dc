import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/** Returns a transition without effects. */
export function stay(state: DistributionState): Transition {
  return { state, effects: [] };
}
