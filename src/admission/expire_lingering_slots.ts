import type { AdmissionState } from "./admission_state.ts";

/** Frees the lingering slots whose timeout has passed. */
export function expireLingeringSlots(
  state: AdmissionState,
  now: number,
): AdmissionState {
  return {
    ...state,
    lingering: state.lingering.filter((slot) => slot.until > now),
  };
}
