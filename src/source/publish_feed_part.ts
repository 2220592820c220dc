import { createFeedItem } from "./create_feed_item.ts";
import { encodeFeedLine } from "./encode_feed_line.ts";
import type { SourceFeed } from "./source_feed.ts";
import type { SourceReading } from "./source_reading.ts";

/**
 * Sends the changes of a part of the source to the subscribers of a feed. The
 * position and the age of the feed stay, since other changes up to the revision
 * of the reading are missing; the next complete line has these again. `now` is
 * in milliseconds since the Unix epoch.
 */
export function publishFeedPart(
  feed: SourceFeed,
  reading: SourceReading,
  { now }: { readonly now: number },
): void {
  const { era, revision } = feed;
  if (era === undefined || revision === undefined || era !== reading.era) {
    return;
  }
  const items = reading.items
    .filter((item) => item.revision > revision)
    .map((item) => createFeedItem(item, { rules: undefined, now }));
  if (items.length === 0) return;
  const text = encodeFeedLine({
    sentAt: now,
    ageMilliseconds: now - feed.confirmedAt,
    rulesAgeMilliseconds: undefined,
    heldMilliseconds: 0,
    era,
    revision,
    items,
    gap: false,
  });
  feed.subscribers.forEach((subscriber) => subscriber.write(text));
}
