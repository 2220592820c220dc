import type { HolderState } from "./holder_state.ts";

/** Returns the number of tokens that a node may still use; drops expired ones. */
export function countHeldTokens(state: HolderState, now: number): number {
  state.held = state.held.filter(({ tokens, expiresAt }) =>
    tokens > 0 && expiresAt > now
  );
  return state.held.reduce((sum, { tokens }) => sum + tokens, 0);
}
