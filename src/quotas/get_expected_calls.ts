import { countHeldTokens } from "./count_held_tokens.ts";
import type { HolderState } from "./holder_state.ts";
import { tokenLifetimeMilliseconds } from "./token_lifetime_milliseconds.ts";

/** Share of the calls expected in a token's lifetime that tokens are requested for; few expire unused. */
const aheadShare = 0.4;
/** Bounds what one reply may grant ahead. */
const expectedCallsMaximum = 1_000;
const millisecondsPerSecond = 1_000;

/**
 * Returns the number of tokens that a node requests ahead of calls; 0 if it
 * holds enough of them, or receives too few calls.
 */
export function getExpectedCalls(state: HolderState, now: number): number {
  const lifetimeSeconds = tokenLifetimeMilliseconds / millisecondsPerSecond;
  const wanted = Math.min(
    expectedCallsMaximum,
    Math.floor(state.callsPerSecond * lifetimeSeconds * aheadShare),
  );
  return Math.max(0, wanted - countHeldTokens(state, now));
}
