import type { CapacityState } from "./capacity_state.ts";

/** Returns how many calls the backend server can run at once: fewer while it warms up. */
export function getUsableSlots(state: CapacityState): number {
  const warmUpProgress = state.answersSinceColdStart / state.warmUpAnswers;
  return state.coldSlots +
    Math.floor((state.slots - state.coldSlots) * warmUpProgress);
}
