import { countHeldTokens } from "./count_held_tokens.ts";
import type { HolderState } from "./holder_state.ts";
import { tokenLifetimeMilliseconds } from "./token_lifetime_milliseconds.ts";

/**
 * Share of the calls expected in a token's lifetime for which tokens are
 * requested ahead. Below 1, so that few of the tokens expire unused.
 */
const aheadShare = 0.4;
/** The most tokens that a node requests ahead. */
const tokensAheadMaximum = 1_000;
const millisecondsPerSecond = 1_000;

/**
 * Returns the number of tokens that a node requests ahead of calls; 0 if it
 * holds enough of them, or receives too few calls.
 */
export function getTokensToRequest(state: HolderState, now: number): number {
  const lifetimeSeconds = tokenLifetimeMilliseconds / millisecondsPerSecond;
  const wanted = Math.min(
    tokensAheadMaximum,
    Math.floor(state.callsPerSecond * lifetimeSeconds * aheadShare),
  );
  return Math.max(0, wanted - countHeldTokens(state, now));
}
