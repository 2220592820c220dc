import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { getLatestStart } from "./get_latest_start.ts";
import { getNextProbeInstant } from "./get_next_probe_instant.ts";

/**
 * Returns the next instant at which the admission has something to do without
 * being told, in milliseconds since the Unix epoch; infinite where there is none.
 */
export function getNextInstant(
  state: AdmissionState,
  context: Pick<AdmissionContext, "policy">,
): number {
  const instants = [
    getNextProbeInstant(state, context),
    ...state.lingering.map((slot) => slot.until),
    // One millisecond later the call is late.
    ...state.queue.map((call) => Math.floor(getLatestStart(state, call)) + 1),
  ];
  return Math.min(...instants);
}
