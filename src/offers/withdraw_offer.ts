import type { OfferRecords } from "./offer_records.ts";
import { replyToOfferQuery } from "./reply_to_offer_query.ts";

/**
 * Records that an offer must not start any more, at the request of the node that
 * made it. One that has not arrived is refused if it arrives later; one that
 * runs already is not affected. `now` is in milliseconds since the Unix epoch.
 */
export function withdrawOffer(
  records: OfferRecords,
  options: { readonly offerIdentifier: string; readonly now: number },
): void {
  if (records.held.has(options.offerIdentifier)) {
    records.withdrawn.add(options.offerIdentifier);
    return;
  }
  replyToOfferQuery(records, options);
}
