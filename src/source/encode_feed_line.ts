import { deflateRawSync } from "node:zlib";
import type { FeedLine } from "./feed_line.ts";
import type { PackedFeedLine } from "./packed_feed_line.ts";

/** Shorter lines are sent as they are: compressing them takes longer than sending them. */
const packedCharactersMinimum = 4_096;

/**
 * Encodes a line of a feed as JSON with a trailing line feed. Long lines, such
 * as many changed routes, are compressed once for all subscribers.
 */
export function encodeFeedLine(line: FeedLine): string {
  const text = JSON.stringify(line);
  if (text.length < packedCharactersMinimum) return `${text}\n`;
  const packed: PackedFeedLine = {
    packed: deflateRawSync(text).toString("base64"),
  };
  return `${JSON.stringify(packed)}\n`;
}
