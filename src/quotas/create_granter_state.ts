import type { TokenBucket } from "../gate/token_bucket.ts";
import type { GranterState } from "./granter_state.ts";
import { listHandoverHosts } from "./list_handover_hosts.ts";
import type { QuotaHosts } from "./quota_hosts.ts";
import type { QuotaLimits } from "./quota_limits.ts";

/** Creates the state of a node that has granted nothing. Its buckets are empty. */
export function createGranterState(
  options: {
    readonly hosts: QuotaHosts;
    readonly limits: QuotaLimits;
    /** Host of this node. */
    readonly ownHost: string;
    /** From when this node is the established owner, if it is the owner. */
    readonly establishedAt: number;
    /** Hosts that other nodes may not know of yet. */
    readonly newHosts: ReadonlySet<string>;
    readonly now: number;
  },
): GranterState {
  const { hosts, limits, ownHost, establishedAt, newHosts, now } = options;
  const isOwner = hosts.owner === ownHost;
  return {
    hosts,
    limits,
    establishedAt: isOwner ? establishedAt : Number.POSITIVE_INFINITY,
    handover: {
      hosts: listHandoverHosts(hosts.ranking, newHosts),
      needsRelease: false,
    },
    formerOwner: undefined,
    releasableUntil: Number.NEGATIVE_INFINITY,
    lessee: undefined,
    leaseUntil: Number.NEGATIVE_INFINITY,
    leaseRequestedAt: Number.NEGATIVE_INFINITY,
    // This node may have granted a burst just before it was restarted.
    bucket: createEmptyBucket({
      tokensPerSecond: limits.callsPerSecond,
      burstTokens: limits.capacityCalls,
      refilledAt: isOwner ? establishedAt : now,
    }),
    reducedBucket: createEmptyBucket({
      tokensPerSecond: limits.reducedCallsPerSecond,
      burstTokens: limits.reducedCapacityCalls,
      refilledAt: now,
    }),
    refusedHosts: new Map(),
  };
}

function createEmptyBucket(
  options: Omit<TokenBucket, "tokens">,
): TokenBucket {
  return { ...options, tokens: 0 };
}
