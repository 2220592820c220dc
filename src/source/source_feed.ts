import type { FeedReading } from "./feed_reading.ts";
import type { FeedSubscriber } from "./feed_subscriber.ts";

/** What a node that reads the source itself passes on to its neighbours. Changed in place. */
export interface SourceFeed {
  /** The latest changes, the oldest first, without a gap. */
  readings: readonly FeedReading[];
  /** The readings hold every change after this revision; undefined while nothing can be passed on. */
  completeAfter: number | undefined;
  /** Revision of the last answer of the source; undefined as `completeAfter`. */
  revision: number | undefined;
  /** When the source last answered, in milliseconds since the Unix epoch. */
  confirmedAt: number;
  readonly subscribers: Set<FeedSubscriber>;
}
