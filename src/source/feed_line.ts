import type { FeedItem } from "./feed_item.ts";

/** One line of a feed: spans travel, since clocks of two VMs differ. */
export interface FeedLine {
  /** The sender's clock, in milliseconds; tells lines that were held up on the way. */
  readonly sentAt: number;
  /** How long ago the sender's view was known to be current. */
  readonly ageMilliseconds: number;
  /** Revision of the sender's view. */
  readonly revision: number;
  /** What changed up to that revision. */
  readonly items: readonly FeedItem[];
  /** How long ago the items were read. */
  readonly heldMilliseconds: number;
  /** What changed is too much to be passed on: the source is to be read once. */
  readonly gap: boolean;
}
