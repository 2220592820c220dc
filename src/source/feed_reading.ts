import type { FeedItem } from "./feed_item.ts";

/** The changes of one read of the source, in the form in which they are sent to neighbours. */
export interface FeedReading {
  /** The revision of the source after these changes. */
  readonly revision: number;
  readonly items: readonly FeedItem[];
  /** When the items were read, in milliseconds since the Unix epoch; their durations start then. */
  readonly readAt: number;
}
