import type { AdmissionState } from "./admission_state.ts";

/** A call that has run for this many service times has ended, even where its cancellation was ignored. */
const maximumServiceTimes = 4;

/**
 * Brings forward the instants at which the slots of given-up calls count as
 * free, because the load endpoint cannot tell when the calls have ended.
 */
export function shortenLingeringSlots(state: AdmissionState): AdmissionState {
  const timeoutMilliseconds = maximumServiceTimes *
    state.serviceTime.recentMilliseconds;
  return {
    ...state,
    lingering: state.lingering.map((slot) => ({
      ...slot,
      until: Math.min(slot.until, slot.since + timeoutMilliseconds),
    })),
  };
}
