import type { CapacityState } from "./capacity_state.ts";

/** Releases the slot of one call; a complete answer counts towards the end of the cold start. */
export function endCall(
  state: CapacityState,
  isAnswerComplete: boolean,
): CapacityState {
  return {
    ...state,
    running: state.running - 1,
    answersSinceColdStart: Math.min(
      state.warmUpAnswers,
      state.answersSinceColdStart + (isAnswerComplete ? 1 : 0),
    ),
  };
}
