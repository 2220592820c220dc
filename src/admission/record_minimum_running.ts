import type { AdmissionState } from "./admission_state.ts";

/** Records the minimum of running calls since the last probe. */
export function recordMinimumRunning(state: AdmissionState): AdmissionState {
  const { probing, running } = state;
  if (running.length >= probing.minimumRunning) return state;
  return { ...state, probing: { ...probing, minimumRunning: running.length } };
}
