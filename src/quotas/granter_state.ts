import type { TokenBucket } from "../gate/token_bucket.ts";
import type { FormerOwner } from "./former_owner.ts";
import type { Handover } from "./handover.ts";
import type { QuotaHosts } from "./quota_hosts.ts";
import type { QuotaLessee } from "./quota_lessee.ts";
import type { QuotaLimits } from "./quota_limits.ts";

/**
 * A node's part in granting the tokens of one organisation. Mutable; instants
 * are steady, in milliseconds, unless stated otherwise.
 */
export interface GranterState {
  hosts: QuotaHosts;
  limits: QuotaLimits;
  /**
   * From when this node is the established owner: no other node can grant as
   * owner then. Infinity while it is not the owner.
   */
  establishedAt: number;
  /** How it may be established earlier; undefined if no node can be asked. */
  handover: Handover | undefined;
  /** Undefined if the owner has not changed. */
  formerOwner: FormerOwner | undefined;
  /**
   * Lease instant until which this node, formerly the established owner, still
   * grants as owner unless the new owner asks it to stop.
   */
  releasableUntil: number;
  /** Undefined unless this node, as the owner, has leased the quota to its deputy. */
  lessee: QuotaLessee | undefined;
  /** Lease instant until which this deputy grants as owner. */
  leaseUntil: number;
  /** When this deputy last asked the owner for a lease. */
  leaseRequestedAt: number;
  /** Used while this node grants as owner. */
  readonly bucket: TokenBucket;
  readonly reducedBucket: TokenBucket;
  /** When each node was last refused tokens, by host. */
  readonly refusedHosts: Map<string, number>;
}
