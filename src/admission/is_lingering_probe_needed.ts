import type { AdmissionState } from "./admission_state.ts";
import { getEffectiveLimit } from "./get_effective_limit.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";

/** Returns whether lingering slots leave no slot for the next call. */
export function isLingeringProbeNeeded(state: AdmissionState): boolean {
  return state.lingering.length > 0 &&
    getOccupiedSlots(state) >= getEffectiveLimit(state);
}
