import type { Rules } from "../routing/rules.ts";
import { createFeedItem } from "./create_feed_item.ts";
import { encodeFeedLine } from "./encode_feed_line.ts";
import type { FeedLine } from "./feed_line.ts";
import type { FeedReading } from "./feed_reading.ts";
import type { SourceFeed } from "./source_feed.ts";
import type { SourceReading } from "./source_reading.ts";

/** Neighbours that are further behind read the source themselves. */
const readingsMaximum = 64;

/**
 * Takes an answer of the source into the feed and passes on what it tells
 * anew. What is too much for the link makes whoever follows the feed read the
 * source once.
 */
export function takeFeedReading(
  feed: SourceFeed,
  reading: SourceReading,
  options: {
    /** The rules in force before the reading. */
    readonly rules: Rules | undefined;
    readonly now: number;
    /** What each who follows the feed may be sent at a time. */
    readonly bytesMaximum: number;
  },
): void {
  const { rules, now, bytesMaximum } = options;
  const { revision } = reading;
  // Not by what this node knows of each key: a later page may be ahead of the
  // revision of its reading, and neighbours began from that revision.
  const known = feed.revision ?? 0;
  const items = reading.items
    .filter((item) => item.revision > known)
    .map((item) => createFeedItem(item, { rules, now }));
  feed.revision = revision;
  feed.confirmedAt = now;
  const common = {
    sentAt: now,
    ageMilliseconds: 0,
    heldMilliseconds: 0,
    revision,
  };
  const text = encodeFeedLine({ ...common, items, gap: false });
  const isPassable = text.length <= bytesMaximum;
  if (feed.completeAfter === undefined || !isPassable) {
    feed.readings = [];
    feed.completeAfter = revision;
  } else if (items.length > 0) {
    keepReading(feed, { revision, items, readAt: now });
  }
  if (isPassable) {
    feed.subscribers.forEach((subscriber) => subscriber.write(text));
  } else {
    endWithGap(feed, { ...common, items: [], gap: true });
  }
}

function keepReading(feed: SourceFeed, reading: FeedReading): void {
  const kept = [...feed.readings, reading];
  const dropped = kept.slice(0, -readingsMaximum);
  feed.readings = kept.slice(-readingsMaximum);
  feed.completeAfter = dropped.at(-1)?.revision ?? feed.completeAfter;
}

function endWithGap(feed: SourceFeed, line: FeedLine): void {
  const text = encodeFeedLine(line);
  feed.subscribers.forEach((subscriber) => {
    subscriber.write(text);
    subscriber.end();
  });
  feed.subscribers.clear();
}
