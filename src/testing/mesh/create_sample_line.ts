import type { FeedLine } from "../../source/feed_line.ts";

/** Creates a feed line without changes; `change` replaces fields. */
export function createSampleLine(change: Partial<FeedLine> = {}): FeedLine {
  return {
    sentAt: 0,
    ageMilliseconds: 0,
    revision: 0,
    items: [],
    heldMilliseconds: 0,
    gap: false,
    ...change,
  };
}
