import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";
import type { SlotRequest } from "./slot_request.ts";

/** Assigns a slot to a call, and in cold start uses one token. */
export function occupySlot(
  state: GateState,
  options: { readonly request: SlotRequest; readonly now: number },
): void {
  const { callIdentifier, route } = options.request;
  state.running.set(callIdentifier, { route, startedAt: options.now });
  if (isCold(state, options.now)) state.coldTokens -= 1;
}
