import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";

/** Notes that the platform answered, or failed to answer, the question of this node after a pause. */
export function notePlatformConfirmation(
  state: DistributionState,
  outcome: { readonly isAnswered: boolean },
  { now }: DistributionContext,
): DistributionState {
  const { confirmation } = state;
  if (confirmation === undefined) {
    return state;
  }
  return {
    ...state,
    confirmation: outcome.isAnswered
      ? { ...confirmation, answered: true, deadline: now }
      : { ...confirmation, platformFailed: true },
  };
}
