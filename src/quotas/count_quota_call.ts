import type { HolderState } from "./holder_state.ts";

/** Interval over which calls are counted before they enter the average. */
const intervalMilliseconds = 500;
/** Weight of the latest interval in the average. */
const latestWeight = 0.5;
const millisecondsPerSecond = 1_000;

/** Counts a call of the organisation, for the number of tokens requested ahead. */
export function countQuotaCall(state: HolderState, now: number): void {
  const elapsed = now - state.countedSince;
  if (elapsed >= intervalMilliseconds) {
    const latest = state.countedCalls * millisecondsPerSecond / elapsed;
    state.callsPerSecond = latestWeight * latest +
      (1 - latestWeight) * state.callsPerSecond;
    state.countedCalls = 0;
    state.countedSince = now;
  }
  state.countedCalls += 1;
}
