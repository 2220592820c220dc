import { encodeFeedLine } from "./encode_feed_line.ts";
import type { SourceFeed } from "./source_feed.ts";
import type { SourcePosition } from "./source_position.ts";

/**
 * Returns the encoded first lines for a neighbour whose view has the
 * position `after`, or undefined if the feed is of another era, does not reach
 * back that far or is stale.
 */
export function tryGetInitialFeedLines(
  feed: SourceFeed,
  options: {
    readonly after: SourcePosition;
    /** In milliseconds since the Unix epoch. */
    readonly now: number;
    readonly staleMilliseconds: number;
    /** Age of the sender's rules; undefined if it is not stated. */
    readonly rulesAgeMilliseconds?: number | undefined;
  },
): string | undefined {
  const { after, now, staleMilliseconds } = options;
  const { completeAfter, confirmedAt, era, readings } = feed;
  if (era === undefined || era !== after.era) return undefined;
  if (completeAfter === undefined || after.revision < completeAfter) {
    return undefined;
  }
  if (confirmedAt + staleMilliseconds <= now) return undefined;
  const latestRevision = readings.at(-1)?.revision ?? completeAfter;
  const emptyReading = {
    revision: Math.max(after.revision, latestRevision),
    items: [],
    readAt: now,
  };
  const missing = readings.filter(({ revision }) => revision > after.revision);
  return (missing.length > 0 ? missing : [emptyReading])
    .map(({ revision, items, readAt }, index, readings) =>
      encodeFeedLine({
        sentAt: now,
        ageMilliseconds: now - confirmedAt,
        // The age holds once all of the readings have been applied.
        rulesAgeMilliseconds: index === readings.length - 1
          ? options.rulesAgeMilliseconds
          : undefined,
        heldMilliseconds: now - readAt,
        era,
        revision,
        items,
        gap: false,
      })
    )
    .join("");
}
