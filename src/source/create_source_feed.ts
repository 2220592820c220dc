import type { SourceFeed } from "./source_feed.ts";

/** Creates an empty feed, which cannot be followed before its first reading. */
export function createSourceFeed(): SourceFeed {
  return {
    readings: [],
    completeAfter: undefined,
    revision: undefined,
    confirmedAt: Number.NEGATIVE_INFINITY,
    subscribers: new Set(),
  };
}
