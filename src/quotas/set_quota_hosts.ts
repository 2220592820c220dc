import { establishOwner } from "./establish_owner.ts";
import { formerOwnerMilliseconds } from "./former_owner_milliseconds.ts";
import type { GranterState } from "./granter_state.ts";
import type { QuotaHosts } from "./quota_hosts.ts";

/**
 * Applies changed hosts of the granters. A node that becomes the owner is
 * established after the handover, since others may not know of the change yet.
 */
export function setQuotaHosts(
  state: GranterState,
  options: {
    readonly hosts: QuotaHosts;
    /** Host of this node. */
    readonly ownHost: string;
    readonly handoverMilliseconds: number;
    readonly leaseNow: number;
    readonly now: number;
  },
): void {
  const { hosts, ownHost, handoverMilliseconds, leaseNow, now } = options;
  const wasOwner = state.hosts.owner === ownHost;
  const isOwner = hosts.owner === ownHost;
  const previousOwner = state.hosts.owner;
  state.hosts = hosts;
  if (previousOwner !== undefined && previousOwner !== hosts.owner) {
    const until = now + formerOwnerMilliseconds;
    state.formerOwner = { host: previousOwner, until };
  }
  if (isOwner === wasOwner) return;
  if (isOwner) {
    state.handover = previousOwner === undefined
      ? undefined
      : { hosts: [previousOwner], needsRelease: true };
    establishOwner(state, { establishedAt: now + handoverMilliseconds });
    return;
  }
  if (now >= state.establishedAt) {
    state.releasableUntil = leaseNow + formerOwnerMilliseconds;
  }
  state.establishedAt = Number.POSITIVE_INFINITY;
}
