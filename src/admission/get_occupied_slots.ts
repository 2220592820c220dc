import type { AdmissionState } from "./admission_state.ts";

/** Returns the number of occupied slots: those of running calls and lingering ones. */
export function getOccupiedSlots(state: AdmissionState): number {
  return state.running.length + state.lingering.length;
}
