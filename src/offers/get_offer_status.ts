import type { OfferRecords } from "./offer_records.ts";
import { OfferStatus } from "./offer_status.ts";
import { recentOfferMilliseconds } from "./recent_offer_milliseconds.ts";

/**
 * Returns the status of an offer. One that has not arrived is fenced: it is
 * refused if it arrives later. `now` is in milliseconds since the Unix epoch.
 */
export function getOfferStatus(
  records: OfferRecords,
  options: { readonly offerIdentifier: string; readonly now: number },
): OfferStatus {
  const { offerIdentifier, now } = options;
  if (records.held.has(offerIdentifier)) return OfferStatus.Held;
  const recent = records.recent.get(offerIdentifier, now);
  if (recent !== undefined) return recent;
  records.recent.set(
    offerIdentifier,
    OfferStatus.Unknown,
    now + recentOfferMilliseconds,
  );
  return OfferStatus.Unknown;
}
