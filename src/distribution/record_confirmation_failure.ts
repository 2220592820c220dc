import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Records that a peer did not respond to a confirmation of the view. If no
 * queried peer is pending any more, the next ones are queried after a short
 * random delay.
 */
export function recordConfirmationFailure(
  state: DistributionState,
  { now, random }: DistributionContext,
): DistributionState {
  const { confirmation } = state;
  if (confirmation === undefined) {
    return state;
  }
  const pending = Math.max(0, confirmation.pending - 1);
  const retryAt = now +
    distributionLimits.confirmationRetryMilliseconds * random.next();
  return {
    ...state,
    confirmation: {
      ...confirmation,
      pending,
      deadline: pending === 0
        ? Math.min(confirmation.deadline, retryAt)
        : confirmation.deadline,
    },
  };
}
