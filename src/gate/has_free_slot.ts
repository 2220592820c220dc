import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";
import { refillColdTokens } from "./refill_cold_tokens.ts";

/** Whether one more call may go to the backend server now: slots always bind, in cold start the rate does too. */
export function hasFreeSlot(state: GateState, now: number): boolean {
  if (state.running.size >= state.slots) return false;
  if (!isCold(state, now)) return true;
  refillColdTokens(state, now);
  return state.coldTokens >= 1;
}
