import { createOfferMessage } from "./create_offer_message.ts";
import type { GateOffer } from "./gate_offer.ts";

/**
 * Encodes an offer as the value of its header. `now` is in milliseconds since
 * the Unix epoch.
 */
export function encodeOffer(offer: GateOffer, now: number): string {
  return JSON.stringify(createOfferMessage(offer, now));
}
