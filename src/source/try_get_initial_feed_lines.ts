import { encodeFeedLine } from "./encode_feed_line.ts";
import type { SourceFeed } from "./source_feed.ts";

/**
 * Returns the encoded first lines for a neighbour whose view has revision
 * `after`, or undefined if the feed does not reach back that far or is stale.
 */
export function tryGetInitialFeedLines(
  feed: SourceFeed,
  options: {
    readonly after: number;
    /** In milliseconds since the Unix epoch. */
    readonly now: number;
    readonly staleMilliseconds: number;
  },
): string | undefined {
  const { after, now, staleMilliseconds } = options;
  const { completeAfter, confirmedAt, readings } = feed;
  if (completeAfter === undefined || after < completeAfter) return undefined;
  if (confirmedAt + staleMilliseconds <= now) return undefined;
  const latestRevision = readings.at(-1)?.revision ?? completeAfter;
  const emptyReading = {
    revision: Math.max(after, latestRevision),
    items: [],
    readAt: now,
  };
  const missing = readings.filter(({ revision }) => revision > after);
  return (missing.length > 0 ? missing : [emptyReading])
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
