import type { AdmissionState } from "./admission_state.ts";
import type { AdmissionStatus } from "./admission_status.ts";
import { getEffectiveLimit } from "./get_effective_limit.ts";
import { getFreeSlots } from "./get_free_slots.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";

/** Returns the status for operators and other nodes. */
export function getAdmissionStatus(
  state: AdmissionState,
  now: number,
): AdmissionStatus {
  return {
    backendServerState: state.backendServerState,
    limit: getEffectiveLimit(state),
    running: getOccupiedSlots(state),
    queued: state.queue.length,
    freeSlots: getFreeSlots(state, now),
  };
}
