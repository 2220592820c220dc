import type { CapacityState } from "./capacity_state.ts";

/** Tells whether the backend server is still warming up. */
export function isCold(state: CapacityState): boolean {
  return state.answersSinceColdStart < state.warmUpAnswers;
}
