import type { FeedReading } from "./feed_reading.ts";
import type { FeedSubscriber } from "./feed_subscriber.ts";

/** The changes that a node which reads the source itself sends to its neighbours. Mutable. */
export interface SourceFeed {
  /** The latest changes, oldest first, without a gap. */
  readings: readonly FeedReading[];
  /** `readings` contains every change after this revision; undefined while the feed cannot be followed. */
  completeAfter: number | undefined;
  /** Era of the last response of the source; undefined while `completeAfter` is. */
  era: number | undefined;
  /** Revision of the last response of the source; undefined while `completeAfter` is. */
  revision: number | undefined;
  /** When the source last responded, in milliseconds since the Unix epoch. */
  confirmedAt: number;
  readonly subscribers: Set<FeedSubscriber>;
}
