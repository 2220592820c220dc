import type { HeldTokens } from "../quotas/held_tokens.ts";
import type { HolderState } from "../quotas/holder_state.ts";

/** The tokens of one organisation at a node, and the calls that wait for one. */
export interface QuotaHolder {
  readonly state: HolderState;
  /** Called with a token, or with undefined if the call is refused. */
  waiters: ((token: HeldTokens | undefined) => void)[];
  /** Whether a request for tokens has no reply yet. */
  requesting: boolean;
  /** Whether the last request was not replied to by the owner. */
  isOwnerUnreachable: boolean;
  refusedCalls: number;
}
