import type { FeedLine } from "./feed_line.ts";

/** Encodes a line of a feed as JSON with a trailing line feed. */
export function encodeFeedLine(line: FeedLine): string {
  return `${JSON.stringify(line)}\n`;
}
