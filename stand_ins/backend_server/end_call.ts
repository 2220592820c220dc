import type { CapacityState } from "./capacity_state.ts";

/** Frees the slot of one call; a whole answer warms the backend server up. */
export function endCall(
  state: CapacityState,
  answeredWhole: boolean,
): CapacityState {
  return {
    ...state,
    running: state.running - 1,
    answersSinceColdStart: Math.min(
      state.warmUpAnswers,
      state.answersSinceColdStart + (answeredWhole ? 1 : 0),
    ),
  };
}
