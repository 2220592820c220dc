import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Records whether the platform responded to the read of a confirmation of the
 * view.
 */
export function recordPlatformConfirmation(
  state: DistributionState,
  outcome: { readonly hasResponded: boolean },
  { now }: DistributionContext,
): DistributionState {
  const { confirmation } = state;
  if (confirmation === undefined) {
    return state;
  }
  return {
    ...state,
    confirmation: outcome.hasResponded
      ? { ...confirmation, answered: true, deadline: now }
      : { ...confirmation, platformFailed: true },
  };
}
