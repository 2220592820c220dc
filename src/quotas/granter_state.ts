import type { TokenBucket } from "../gate/token_bucket.ts";
import type { QuotaHosts } from "./quota_hosts.ts";
import type { QuotaLimits } from "./quota_limits.ts";

/**
 * A node's part in granting the tokens of one organisation. Mutable; instants
 * are steady, in milliseconds.
 */
export interface GranterState {
  hosts: QuotaHosts;
  limits: QuotaLimits;
  /**
   * From when this node is the established owner: no other node can grant as
   * owner then. Infinity while it is not the owner.
   */
  establishedAt: number;
  /** Host of the owner before this node; undefined if none is known. */
  predecessor: string | undefined;
  /**
   * Until when this node may tell a new owner that no node grants as owner any
   * more, since it was itself the last one that did.
   */
  releasableUntil: number;
  /** Used while this node is the established owner. */
  readonly bucket: TokenBucket;
  readonly reducedBucket: TokenBucket;
  /** When each node was last refused tokens, by host. */
  readonly refusedHosts: Map<string, number>;
}
