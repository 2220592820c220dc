import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";

/** Books a slot for a call. */
export function takeSlot(
  state: GateState,
  options: { readonly callIdentifier: string; readonly now: number },
): void {
  state.running.set(options.callIdentifier, options.now);
  if (isCold(state, options.now)) state.coldTokens -= 1;
}
