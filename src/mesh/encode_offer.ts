import { createOfferMessage } from "./create_offer_message.ts";
import type { GateOffer } from "./gate_offer.ts";

const nonAsciiPattern = /[^ -~]/g;

/**
 * Encodes an offer as the value of its header. `now` is in milliseconds since
 * the Unix epoch.
 */
export function encodeOffer(offer: GateOffer, now: number): string {
  return escapeNonAscii(JSON.stringify(createOfferMessage(offer, now)));
}

/** Names may contain characters that a header cannot. */
function escapeNonAscii(text: string): string {
  return text.replace(
    nonAsciiPattern,
    (unit) => `\\u${unit.charCodeAt(0).toString(16).padStart(4, "0")}`,
  );
}
