import { countHeldTokens } from "./count_held_tokens.ts";
import type { HeldTokens } from "./held_tokens.ts";
import type { HolderState } from "./holder_state.ts";

/** Takes the token that expires first; undefined if the node holds none. */
export function tryTakeToken(
  state: HolderState,
  now: number,
): HeldTokens | undefined {
  if (countHeldTokens(state, now) === 0) return undefined;
  const first = state.held[0];
  if (first === undefined) return undefined;
  first.tokens -= 1;
  return { tokens: 1, expiresAt: first.expiresAt };
}
