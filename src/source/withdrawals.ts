import type { FeedItem } from "./feed_item.ts";

/**
 * What a node knows as withdrawn since the source came back from an older copy,
 * for a neighbour that has started since.
 */
export interface Withdrawals {
  /**
   * Era that the sender has read the source in; absent if it has not read it,
   * and from a node of an earlier version.
   */
  readonly era?: number | undefined;
  /** Later rules than the asking node has, zones taken out, draining backend servers. */
  readonly items: readonly FeedItem[];
  /** Entries whose removal counts, which the copy may list. */
  readonly removed: readonly FeedItem[];
  /** Time for which the zones are held out of service. */
  readonly zonesHeldMilliseconds: number;
}
