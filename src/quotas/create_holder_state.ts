import type { HolderState } from "./holder_state.ts";

/** Creates the state of a node that holds no token of an organisation. */
export function createHolderState(now: number): HolderState {
  return {
    held: [],
    callsPerSecond: 0,
    countedCalls: 0,
    countedSince: now,
    refusedUntil: Number.NEGATIVE_INFINITY,
    ownerRetryAt: Number.NEGATIVE_INFINITY,
    ownerFailures: 0,
  };
}
