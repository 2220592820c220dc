import { addHeldTokens } from "./add_held_tokens.ts";
import type { HolderState } from "./holder_state.ts";
import { QuotaRole } from "./quota_role.ts";
import type { TokenGrant } from "./token_grant.ts";
import { tokenLifetimeMilliseconds } from "./token_lifetime_milliseconds.ts";

/** The longest pause before a node that did not reach the owner asks again. */
const unreachableMilliseconds = 250;
/** Pause before tokens are requested ahead again after a reply without any. */
const refreshPauseMilliseconds = tokenLifetimeMilliseconds / 2;

/**
 * Records the reply of a granter, or that none could be reached. Tokens expire
 * a lifetime after the request was sent, so that the time on the way counts.
 */
export function recordTokenGrant(
  state: HolderState,
  grant: TokenGrant,
  options: { readonly sentAt: number; readonly now: number },
): void {
  const { sentAt, now } = options;
  const { role, tokens } = grant;
  addHeldTokens(state, {
    tokens,
    expiresAt: sentAt + tokenLifetimeMilliseconds,
  });
  if (tokens === 0) state.refreshAt = now + refreshPauseMilliseconds;
  const retryMilliseconds = role === QuotaRole.None
    ? unreachableMilliseconds
    : grant.retryMilliseconds;
  if (retryMilliseconds === 0) {
    state.refusedBy = QuotaRole.None;
    return;
  }
  state.refusedUntil = role === QuotaRole.Owner
    ? now + retryMilliseconds
    : now + Math.min(retryMilliseconds, unreachableMilliseconds);
  // The owner may be back with the whole quota.
  state.ownerRetryAt = Math.min(state.ownerRetryAt, state.refusedUntil);
  state.refusedBy = role;
  state.refusedMilliseconds = state.refusedUntil - now;
  state.refusedCalls = 0;
}
