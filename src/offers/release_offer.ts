import type { OfferRecords } from "./offer_records.ts";
import { OfferStatus } from "./offer_status.ts";
import { recentOfferMilliseconds } from "./recent_offer_milliseconds.ts";

/**
 * Records that an offer has its reply, or that its connection has ended. `now`
 * is in milliseconds since the Unix epoch.
 */
export function releaseOffer(
  records: OfferRecords,
  options: { readonly offerIdentifier: string; readonly now: number },
): void {
  const { offerIdentifier, now } = options;
  records.held.delete(offerIdentifier);
  records.withdrawn.delete(offerIdentifier);
  records.recent.set(
    offerIdentifier,
    OfferStatus.Ended,
    now + recentOfferMilliseconds,
  );
}
