import { countHeldTokens } from "./count_held_tokens.ts";
import { getTokensToRequest } from "./get_tokens_to_request.ts";
import type { HolderState } from "./holder_state.ts";

/**
 * Whether a node requests tokens ahead of calls now: it holds fewer than half of
 * those that it wants, and no pause after a reply without tokens lasts.
 */
export function shouldRefreshTokens(state: HolderState, now: number): boolean {
  return now >= Math.max(state.refusedUntil, state.refreshAt) &&
    getTokensToRequest(state, now) > countHeldTokens(state, now);
}
