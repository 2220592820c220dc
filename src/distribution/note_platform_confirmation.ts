import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Notes that the platform answered while this node confirms its view after a
 * pause. An answer to an older request may have waited in a socket's buffer
 * while the process was paused, and counts for nothing.
 */
export function notePlatformConfirmation(
  state: DistributionState,
  { now }: DistributionContext,
): DistributionState {
  const { confirmation, platform } = state;
  return confirmation === undefined ||
      platform.readStartedAt < confirmation.askedAt
    ? state
    : {
      ...state,
      confirmation: { ...confirmation, answered: true, deadline: now },
    };
}
