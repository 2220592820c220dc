import { establishOwner } from "./establish_owner.ts";
import type { GranterState } from "./granter_state.ts";
import { isQuotaLeased } from "./is_quota_leased.ts";

/**
 * Gives the quota up to a node whose view names it as the owner. If the view of
 * this node still names itself, it is established again after the handover.
 *
 * Returns true if no third node can still grant as owner: this node was the last
 * that did, or has leased the quota to the node that asks.
 */
export function tryReleaseOwnership(
  state: GranterState,
  options: {
    /** Host of the node that asks. */
    readonly host: string;
    readonly handoverMilliseconds: number;
    readonly leaseNow: number;
    readonly now: number;
  },
): boolean {
  const { host, handoverMilliseconds, leaseNow, now } = options;
  const lessee = isQuotaLeased(state, now) ? state.lessee : undefined;
  const isLessee = lessee?.host === host;
  const isReleased = now >= state.establishedAt ||
    leaseNow < state.leaseUntil || leaseNow < state.releasableUntil ||
    isLessee;
  // One node only is told that it may be established.
  state.releasableUntil = Number.NEGATIVE_INFINITY;
  state.leaseUntil = Number.NEGATIVE_INFINITY;
  if (Number.isFinite(state.establishedAt)) {
    establishOwner(state, { establishedAt: now + handoverMilliseconds });
  }
  // Others that ask must learn of the lease until it has ended.
  state.lessee = isLessee ? undefined : lessee;
  return isReleased;
}
