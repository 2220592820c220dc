import type { GateState } from "./gate_state.ts";
import { hasFreeSlot } from "./has_free_slot.ts";
import { isKeptForNestedCalls } from "./is_kept_for_nested_calls.ts";
import { isHeldAsSuspect } from "./is_held_as_suspect.ts";
import type { SlotRequest } from "./slot_request.ts";

/** Returns whether the gate can admit this call now. */
export function canStart(
  state: GateState,
  options: { readonly request: SlotRequest; readonly now: number },
): boolean {
  const { request, now } = options;
  if (isHeldAsSuspect(state, request)) return false;
  if (!request.isNested && isKeptForNestedCalls(state, { now })) return false;
  return hasFreeSlot(state, now);
}
