import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/**
 * Runs each step on the state that the previous step returned, and collects the
 * effects in order.
 */
export function chainSteps(
  state: DistributionState,
  steps: readonly ((state: DistributionState) => Transition)[],
): Transition {
  return steps.reduce<Transition>((transition, step) => {
    const next = step(transition.state);
    return {
      state: next.state,
      effects: [...transition.effects, ...next.effects],
    };
  }, { state, effects: [] });
}
