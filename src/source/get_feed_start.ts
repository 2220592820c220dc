import { encodeFeedLine } from "./encode_feed_line.ts";
import type { SourceFeed } from "./source_feed.ts";

/**
 * Returns the first lines for a neighbour whose view ends with revision
 * `after`; undefined where the feed cannot go on from there or is too old.
 */
export function getFeedStart(
  feed: SourceFeed,
  options: {
    readonly after: number;
    readonly now: number;
    readonly staleMilliseconds: number;
  },
): string | undefined {
  const { after, now, staleMilliseconds } = options;
  const { completeAfter, confirmedAt, readings } = feed;
  if (completeAfter === undefined || after < completeAfter) return undefined;
  if (confirmedAt + staleMilliseconds <= now) return undefined;
  const newest = readings.at(-1)?.revision ?? completeAfter;
  const nothing = {
    revision: Math.max(after, newest),
    items: [],
    readAt: now,
  };
  const missing = readings.filter(({ revision }) => revision > after);
  return (missing.length > 0 ? missing : [nothing])
    .map(({ revision, items, readAt }) =>
      encodeFeedLine({
        sentAt: now,
        ageMilliseconds: now - confirmedAt,
        heldMilliseconds: now - readAt,
        revision,
        items,
        gap: false,
      })
    )
    .join("");
}
