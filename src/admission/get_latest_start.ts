import type { AdmissionState } from "./admission_state.ts";
import type { QueuedCall } from "./queued_call.ts";

/**
 * Returns the latest instant at which a call can start and still meet its
 * deadline, in milliseconds since the Unix epoch.
 */
export function getLatestStart(
  state: AdmissionState,
  call: QueuedCall,
): number {
  return call.request.deadline - state.serviceTime.recentMilliseconds;
}
