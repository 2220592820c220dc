import type { AdmissionState } from "./admission_state.ts";
import { getEffectiveLimit } from "./get_effective_limit.ts";

/** Returns the expected wait of the queued call at `position` (from 0), in milliseconds. */
export function getExpectedWait(
  state: AdmissionState,
  position: number,
): number {
  return (position + 1) * state.serviceTime.recentMilliseconds /
    Math.max(1, getEffectiveLimit(state));
}
