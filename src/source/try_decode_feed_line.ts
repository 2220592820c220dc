import { tryParseJson } from "../daemon/try_parse_json.ts";
import type { FeedLine } from "./feed_line.ts";
import { feedLineSchema } from "./feed_line_schema.ts";

/** Decodes a line of a feed; returns undefined if the text is not a valid line. */
export function tryDecodeFeedLine(text: string): FeedLine | undefined {
  const parsed = feedLineSchema.safeParse(tryParseJson(text));
  return parsed.success ? parsed.data : undefined;
}
