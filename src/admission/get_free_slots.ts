import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import { getUnavailableReason } from "./get_unavailable_reason.ts";
import { getEffectiveLimit } from "./get_effective_limit.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";

/** Returns the number of calls that can be admitted now. `now` is in milliseconds since the Unix epoch. */
export function getFreeSlots(state: AdmissionState, now: number): number {
  if (getUnavailableReason(state) !== undefined) return 0;
  const occupied = getOccupiedSlots(state);
  if (state.backendServerState === BackendServerState.Down) {
    const slots = state.backendServer?.slots ?? 0;
    return now >= state.reachability.trialAt && occupied < slots ? 1 : 0;
  }
  return Math.max(0, getEffectiveLimit(state) - occupied);
}
