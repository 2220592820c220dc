import type { AdmissionState } from "./admission_state.ts";

/** Frees the slots of given-up calls whose deadline has passed without proof. */
export function expireLingeringSlots(
  state: AdmissionState,
  now: number,
): AdmissionState {
  return {
    ...state,
    lingering: state.lingering.filter((slot) => slot.until > now),
  };
}
