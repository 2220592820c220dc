import type { SourceFeed } from "./source_feed.ts";

/** Creates a feed that passes nothing on yet. */
export function createSourceFeed(): SourceFeed {
  return {
    readings: [],
    completeAfter: undefined,
    revision: undefined,
    confirmedAt: Number.NEGATIVE_INFINITY,
    subscribers: new Set(),
  };
}
