import type { SourceFeed } from "./source_feed.ts";

/** Ends the streams of all subscribers and empties the feed; the next reading starts it again. */
export function endFeed(feed: SourceFeed): void {
  feed.readings = [];
  feed.completeAfter = undefined;
  feed.era = undefined;
  feed.revision = undefined;
  feed.confirmedAt = Number.NEGATIVE_INFINITY;
  feed.subscribers.forEach((subscriber) => subscriber.end());
  feed.subscribers.clear();
}
