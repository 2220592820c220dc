import { establishOwner } from "./establish_owner.ts";
import type { GranterState } from "./granter_state.ts";
import { isQuotaLeased } from "./is_quota_leased.ts";

/**
 * Lets the deputy grant in place of this owner, which may not grant since its
 * view is outdated or it stops. The owner is established again after the
 * handover, or once the deputy has given the quota back. Returns whether the
 * deputy may grant.
 */
export function tryLeaseQuota(
  state: GranterState,
  options: {
    /** Host of the deputy. */
    readonly host: string;
    readonly isPaused: boolean;
    readonly handoverMilliseconds: number;
    readonly now: number;
  },
): boolean {
  const { host, isPaused, handoverMilliseconds, now } = options;
  const { establishedAt, lessee } = state;
  const isRenewal = Number.isFinite(establishedAt) &&
    isQuotaLeased(state, now) && lessee?.host === host;
  const isOwner = now >= establishedAt || isRenewal;
  if (!isOwner || !isPaused) return false;
  const until = now + handoverMilliseconds;
  establishOwner(state, { establishedAt: until });
  state.lessee = { host, until };
  state.handover = { hosts: [host], needsRelease: true };
  return true;
}
