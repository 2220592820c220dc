import { establishOwner } from "./establish_owner.ts";
import type { GranterState } from "./granter_state.ts";

/**
 * Gives the quota up to a node whose view names it as the owner. Returns
 * whether this node granted as owner until now, or was the last that did: if
 * not, a third one may still grant. If the view of this node still names
 * itself, it is established again after the handover.
 */
export function tryReleaseOwnership(
  state: GranterState,
  options: {
    readonly handoverMilliseconds: number;
    readonly leaseNow: number;
    readonly now: number;
  },
): boolean {
  const { handoverMilliseconds, leaseNow, now } = options;
  const isReleased = now >= state.establishedAt ||
    leaseNow < state.leaseUntil || now < state.releasableUntil;
  // One node only is told that it may be established.
  state.releasableUntil = Number.NEGATIVE_INFINITY;
  state.leaseUntil = Number.NEGATIVE_INFINITY;
  if (Number.isFinite(state.establishedAt)) {
    establishOwner(state, { establishedAt: now + handoverMilliseconds });
  }
  return isReleased;
}
