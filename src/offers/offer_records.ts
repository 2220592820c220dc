import type { ExpiringMap } from "../calls/expiring_map.ts";
import type { OfferStatus } from "./offer_status.ts";

/** What a node knows of the calls that other nodes offered to it. Mutable. */
export interface OfferRecords {
  /** Identifiers of the offers that have no reply yet. */
  readonly held: Set<string>;
  /** Identifiers of held offers that must not start any more. */
  readonly withdrawn: Set<string>;
  /** Offers that had a reply, and those queried before they arrived. */
  readonly recent: ExpiringMap<OfferStatus.Ended | OfferStatus.NotReceived>;
}
