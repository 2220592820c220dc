import { inflateRawSync } from "node:zlib";
import { tryParseJson } from "../daemon/try_parse_json.ts";
import type { FeedLine } from "./feed_line.ts";
import { feedLineSchema } from "./feed_line_schema.ts";
import type { PackedFeedLine } from "./packed_feed_line.ts";

/** Limit of a decompressed line, so that a malformed one cannot exhaust memory. */
const lineBytesMaximum = 8_388_608;

/** Decodes a line of a feed; returns undefined if the text is not a valid line. */
export function tryDecodeFeedLine(text: string): FeedLine | undefined {
  const input = tryParseJson(text);
  const unpacked = isPackedFeedLine(input)
    ? tryParseJson(tryUnpack(input) ?? "")
    : input;
  const parsed = feedLineSchema.safeParse(unpacked);
  return parsed.success ? parsed.data : undefined;
}

function isPackedFeedLine(input: unknown): input is PackedFeedLine {
  return typeof input === "object" && input !== null && "packed" in input &&
    typeof input.packed === "string";
}

function tryUnpack({ packed }: PackedFeedLine): string | undefined {
  try {
    return inflateRawSync(Buffer.from(packed, "base64"), {
      maxOutputLength: lineBytesMaximum,
    }).toString();
  } catch {
    // Not valid compressed data, or too long: an invalid line.
    return undefined;
  }
}
