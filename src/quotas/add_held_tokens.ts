import type { HeldTokens } from "./held_tokens.ts";
import type { HolderState } from "./holder_state.ts";

/**
 * Adds granted tokens, or the token of a call that has not run. They keep the
 * instant at which they expire.
 */
export function addHeldTokens(state: HolderState, added: HeldTokens): void {
  if (added.tokens === 0) return;
  state.held = [...state.held, { ...added }]
    .sort((left, right) => left.expiresAt - right.expiresAt);
}
