import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";
import { refillColdTokens } from "./refill_cold_tokens.ts";

/**
 * Whether the backend server may get one more call now. Slots limit it at all
 * times, and in cold start the rate limit does too. Refills the cold start
 * tokens.
 */
export function hasFreeSlot(state: GateState, now: number): boolean {
  if (state.running.size >= state.slots) return false;
  if (!isCold(state, now)) return true;
  refillColdTokens(state, now);
  return state.coldTokens >= 1;
}
