import type { DistributionState } from "./distribution_state.ts";

/** Notes that a peer did not answer the question after a pause. */
export function noteConfirmationFailure(
  state: DistributionState,
): DistributionState {
  const { confirmation } = state;
  return confirmation === undefined ? state : {
    ...state,
    confirmation: {
      ...confirmation,
      pending: Math.max(0, confirmation.pending - 1),
    },
  };
}
