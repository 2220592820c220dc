import type { CapacityState } from "./capacity_state.ts";

/** Returns how many calls the backend server can run at once; while it is cold, the number rises from `coldSlots` to `slots`. */
export function getBearableSlots(state: CapacityState): number {
  const warmUpProgress = state.answersSinceColdStart / state.warmUpAnswers;
  return state.coldSlots +
    Math.floor((state.slots - state.coldSlots) * warmUpProgress);
}
