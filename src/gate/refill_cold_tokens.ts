import type { GateState } from "./gate_state.ts";

const millisecondsPerSecond = 1_000;

/** Adds the cold start tokens of the time since the last refill, up to the size of the bucket. */
export function refillColdTokens(state: GateState, now: number): void {
  const elapsed = Math.max(0, now - state.coldTokensRefilledAt);
  state.coldTokens = Math.min(
    state.coldBurstCalls,
    state.coldTokens +
      elapsed * state.coldCallsPerSecond / millisecondsPerSecond,
  );
  state.coldTokensRefilledAt = now;
}
