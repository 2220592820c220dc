import type { AdmissionState } from "./admission_state.ts";

/**
 * The multiple of the recent service time after which a call is assumed to have
 * ended, even if its cancellation was ignored.
 */
const maximumServiceTimes = 4;

/**
 * Shortens the timeouts after which the lingering slots are considered to be
 * free, because the load endpoint does not show when the calls have ended.
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
