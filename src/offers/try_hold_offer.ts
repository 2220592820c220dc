import type { OfferRecords } from "./offer_records.ts";
import { OfferStatus } from "./offer_status.ts";

/**
 * Records an offer that has arrived. Returns false if it was queried before: the
 * other node has given it up, so it must not run. `now` is in milliseconds since
 * the Unix epoch.
 */
export function tryHoldOffer(
  records: OfferRecords,
  options: { readonly offerIdentifier: string; readonly now: number },
): boolean {
  const { offerIdentifier, now } = options;
  if (records.recent.get(offerIdentifier, now) === OfferStatus.Unknown) {
    return false;
  }
  records.held.add(offerIdentifier);
  return true;
}
