import type { Rules } from "../routing/rules.ts";
import { createFeedItem } from "./create_feed_item.ts";
import { encodeFeedLine } from "./encode_feed_line.ts";
import { endFeed } from "./end_feed.ts";
import type { FeedLine } from "./feed_line.ts";
import type { FeedReading } from "./feed_reading.ts";
import type { SourceFeed } from "./source_feed.ts";
import type { SourceReading } from "./source_reading.ts";

/** Neighbours that are further behind read the source themselves. */
const retainedReadingsMaximum = 64;

/**
 * Adds a reading of the source to the feed and sends its new changes to the
 * subscribers. If the changes exceed `bytesMaximum`, the streams end with a gap
 * and the subscribers read the source once. A reading of a later era starts the
 * feed again, since its changes do not continue those of the era before.
 */
export function publishFeedReading(
  feed: SourceFeed,
  reading: SourceReading,
  options: {
    /** The rules in force before the reading. */
    readonly rules: Rules | undefined;
    /** In milliseconds since the Unix epoch. */
    readonly now: number;
    /** Age of the sender's rules with this reading; undefined if it is not stated. */
    readonly rulesAgeMilliseconds?: number | undefined;
    /** Maximum size of a line, in bytes. */
    readonly bytesMaximum: number;
  },
): void {
  const { rules, now, rulesAgeMilliseconds, bytesMaximum } = options;
  const { era, revision } = reading;
  if (feed.era !== undefined && feed.era !== era) endFeed(feed);
  // Compares with the feed's revision instead of the last revision of each key:
  // a later page may contain changes beyond the revision of its reading, and
  // neighbours continue from that revision.
  const publishedRevision = feed.revision ?? 0;
  const items = reading.items
    .filter((item) => item.revision > publishedRevision)
    .map((item) => createFeedItem(item, { rules, now }));
  feed.era = era;
  feed.revision = revision;
  feed.confirmedAt = now;
  const commonFields = {
    sentAt: now,
    ageMilliseconds: 0,
    rulesAgeMilliseconds,
    heldMilliseconds: 0,
    era,
    revision,
  };
  const text = encodeFeedLine({ ...commonFields, items, gap: false });
  const isWithinLimit = text.length <= bytesMaximum;
  if (feed.completeAfter === undefined || !isWithinLimit) {
    feed.readings = [];
    feed.completeAfter = revision;
  } else if (items.length > 0) {
    appendReading(feed, { revision, items, readAt: now });
  }
  if (isWithinLimit) {
    feed.subscribers.forEach((subscriber) => subscriber.write(text));
  } else {
    endWithGap(feed, { ...commonFields, items: [], gap: true });
  }
}

function appendReading(feed: SourceFeed, reading: FeedReading): void {
  const allReadings = [...feed.readings, reading];
  const dropped = allReadings.slice(0, -retainedReadingsMaximum);
  feed.readings = allReadings.slice(-retainedReadingsMaximum);
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
