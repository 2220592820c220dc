import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { isLingeringProbeNeeded } from "./is_lingering_probe_needed.ts";

/**
 * Returns when the next probe is due, in milliseconds since the Unix epoch;
 * infinity while a probe is in flight or without a backend server.
 */
export function getNextProbeInstant(
  state: AdmissionState,
  context: Pick<AdmissionContext, "policy">,
): number {
  const { isInFlight, sentAt, nextAt } = state.probing;
  if (isInFlight || state.backendServerName === undefined) {
    return Number.POSITIVE_INFINITY;
  }
  return isLingeringProbeNeeded(state)
    ? Math.min(
      nextAt,
      sentAt + context.policy.lingeringProbeIntervalMilliseconds,
    )
    : nextAt;
}
