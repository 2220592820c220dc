import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/** Returns a transition to a state, without effects. */
export function createTransition(state: DistributionState): Transition {
  return { state, effects: [] };
}
