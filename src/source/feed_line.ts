import type { FeedItem } from "./feed_item.ts";

/** One line of a feed. It contains durations instead of instants because the clocks of two VMs differ. */
export interface FeedLine {
  /** The sender's clock, in milliseconds; reveals lines that were delayed in transit. */
  readonly sentAt: number;
  /** Time since the sender's view was last known to be current. */
  readonly ageMilliseconds: number;
  /**
   * Time since the sender's rules were certainly current; absent if it does not
   * know, and from a node of an earlier version.
   */
  readonly rulesAgeMilliseconds?: number | undefined;
  /** Era of the sender's view. */
  readonly era: number;
  /** Revision of the sender's view. */
  readonly revision: number;
  /** The changes up to that revision. */
  readonly items: readonly FeedItem[];
  /** Time since the sender read the items from the source. */
  readonly heldMilliseconds: number;
  /** Whether the changes were too large to send; the receiver must read the source once. */
  readonly gap: boolean;
}
