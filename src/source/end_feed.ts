import type { SourceFeed } from "./source_feed.ts";

/** Ends the feed for everybody who follows it; it begins anew with the next reading. */
export function endFeed(feed: SourceFeed): void {
  feed.readings = [];
  feed.completeAfter = undefined;
  feed.revision = undefined;
  feed.confirmedAt = Number.NEGATIVE_INFINITY;
  feed.subscribers.forEach((subscriber) => subscriber.end());
  feed.subscribers.clear();
}
