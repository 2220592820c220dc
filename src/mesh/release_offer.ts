import type { OfferRecords } from "./offer_records.ts";
import { OfferStatus } from "./offer_status.ts";
import { recentOfferMilliseconds } from "./recent_offer_milliseconds.ts";

/**
 * Records that an offer has its reply, or that its connection has ended. `now`
 * is in milliseconds since the Unix epoch.
 */
export function releaseOffer(
  records: OfferRecords,
  options: { readonly callIdentifier: string; readonly now: number },
): void {
  const { callIdentifier, now } = options;
  records.held.delete(callIdentifier);
  records.recent.set(
    callIdentifier,
    OfferStatus.Replied,
    now + recentOfferMilliseconds,
  );
}
