import { countHeldTokens } from "./count_held_tokens.ts";
import { getExpectedCalls } from "./get_expected_calls.ts";
import type { HolderState } from "./holder_state.ts";

/** Whether a node requests tokens now so that the next calls need not wait. */
export function shouldRefreshTokens(state: HolderState, now: number): boolean {
  return now >= Math.max(state.refusedUntil, state.refreshAt) &&
    getExpectedCalls(state, now) > countHeldTokens(state, now);
}
