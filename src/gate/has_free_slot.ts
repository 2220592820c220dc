import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";
import { refillColdTokens } from "./refill_cold_tokens.ts";

/**
 * Returns whether the gate can admit one more call now: a slot is free and, in
 * cold start, a token of the rate limit is left. Refills the tokens first if the
 * backend server is in cold start and a slot is free.
 */
export function hasFreeSlot(state: GateState, now: number): boolean {
  if (state.running.size >= state.slots) return false;
  if (!isCold(state, now)) return true;
  refillColdTokens(state, now);
  return state.coldTokens >= 1;
}
