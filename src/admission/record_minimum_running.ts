import type { AdmissionState } from "./admission_state.ts";

/** Keeps the fewest calls that ran here at one instant since the last probe was sent. */
export function recordMinimumRunning(state: AdmissionState): AdmissionState {
  const { probing, running } = state;
  if (running.length >= probing.minimumRunning) return state;
  return { ...state, probing: { ...probing, minimumRunning: running.length } };
}
