import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/** Takes each step from the state that the one before it gave, and collects the effects in order. */
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
