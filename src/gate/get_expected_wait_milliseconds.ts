import type { GateState } from "./gate_state.ts";
import { isCold } from "./is_cold.ts";

const millisecondsPerSecond = 1_000;

/**
 * Estimates how long a call with `ahead` queued calls before it waits for a
 * slot, and in cold start also for the rate limit.
 */
export function getExpectedWaitMilliseconds(
  state: GateState,
  options: { readonly ahead: number; readonly now: number },
): number {
  const excess = state.running.size + options.ahead + 1 - state.slots;
  const slotWait = Math.max(0, excess) * state.serviceMilliseconds /
    Math.max(1, state.slots);
  if (!isCold(state, options.now)) return slotWait;
  const missingTokens = Math.max(0, options.ahead + 1 - state.coldTokens);
  const rateWait = missingTokens * millisecondsPerSecond /
    Math.max(1, state.coldCallsPerSecond);
  return Math.max(slotWait, rateWait);
}
