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
  /** Whether this node was established when it ceased to be the owner. */
  wasEstablished: boolean;
  /** Used while this node is the established owner. */
  readonly bucket: TokenBucket;
  readonly reducedBucket: TokenBucket;
  /** When each node was last refused tokens, by host. */
  readonly refusedHosts: Map<string, number>;
}
