import { tryParseJson } from "../daemon/try_parse_json.ts";
import type { GateOffer } from "./gate_offer.ts";
import { readOffer } from "./read_offer.ts";

/**
 * Decodes the offer in a header; returns undefined if the text is not a valid
 * offer. `now` is in milliseconds since the Unix epoch.
 */
export function decodeOffer(
  text: string | undefined,
  now: number,
): GateOffer | undefined {
  return text === undefined ? undefined : readOffer(tryParseJson(text), now);
}
