import type { GateState } from "./gate_state.ts";
import { hasFreeSlot } from "./has_free_slot.ts";
import { isHeldAsSuspect } from "./is_held_as_suspect.ts";
import type { SlotRequest } from "./slot_request.ts";

/** Returns whether the gate can admit this call now. */
export function canStart(
  state: GateState,
  options: { readonly request: SlotRequest; readonly now: number },
): boolean {
  const { request, now } = options;
  return !isHeldAsSuspect(state, request) && hasFreeSlot(state, now);
}
