import { encodeOffer } from "../../mesh/encode_offer.ts";
import { createSampleOffer } from "./create_sample_offer.ts";
import { endlessBytesLimits } from "./endless_bytes_limits.ts";

/** Returns the header of an offer that may not run twice and whose deadline is the timeout of the route. */
export function createEndlessOfferText(): string {
  const now = Date.now();
  const deadline = now + endlessBytesLimits.timeoutMilliseconds;
  return encodeOffer({
    ...createSampleOffer("endless", { now }),
    idempotent: false,
    deadline,
    goalDeadline: deadline,
    waitDeadline: deadline,
  }, now);
}
