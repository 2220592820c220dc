import type { FeedLine } from "../../source/feed_line.ts";

/** Creates a feed line without changes; `overrides` replaces fields. */
export function createSampleLine(overrides: Partial<FeedLine> = {}): FeedLine {
  return {
    sentAt: 0,
    ageMilliseconds: 0,
    era: 0,
    revision: 0,
    items: [],
    heldMilliseconds: 0,
    gap: false,
    ...overrides,
  };
}
