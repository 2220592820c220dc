import { createExpiringMap } from "../calls/create_expiring_map.ts";
import type { OfferRecords } from "./offer_records.ts";

/** Creates the records of a node that has received no offer yet. */
export function createOfferRecords(): OfferRecords {
  return {
    held: new Set(),
    withdrawn: new Set(),
    // A status has no body, so nothing is ever stripped.
    recent: createExpiringMap({
      maximumBytes: 0,
      getBytes: () => 0,
      strip: (status) => status,
    }),
  };
}
