import type { AdmissionState } from "./admission_state.ts";

/** Returns how many slots are taken: by running calls, and by given-up calls that may still run. */
export function getOccupiedSlots(state: AdmissionState): number {
  return state.running.length + state.lingering.length;
}
