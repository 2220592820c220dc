import type { SourceFeed } from "./source_feed.ts";

/** Creates an empty feed, which neighbours cannot follow before this node's first reading of the source is published. */
export function createSourceFeed(): SourceFeed {
  return {
    readings: [],
    completeAfter: undefined,
    era: undefined,
    revision: undefined,
    confirmedAt: Number.NEGATIVE_INFINITY,
    subscribers: new Set(),
  };
}
