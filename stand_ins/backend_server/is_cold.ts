import type { CapacityState } from "./capacity_state.ts";

/** Returns whether the backend server is still in its cold start. */
export function isCold(state: CapacityState): boolean {
  return state.answersSinceColdStart < state.warmUpAnswers;
}
