import type { FeedItem } from "./feed_item.ts";

/** What changed at the source, in the form in which it is passed on. */
export interface FeedReading {
  /** The changes lead up to this revision. */
  readonly revision: number;
  readonly items: readonly FeedItem[];
  /** When the items were read, in milliseconds since the Unix epoch: their spans count from then. */
  readonly readAt: number;
}
