import type { OfferCheckKind } from "./offer_check_kind.ts";
import type { OfferStatus } from "./offer_status.ts";

/** The result of a check of an unconfirmed offer. */
export type OfferCheck =
  | {
    readonly kind: OfferCheckKind.Status;
    readonly status: OfferStatus;
    /**
     * How long the process of the other node has recorded offers, in
     * milliseconds; missing if it did not state it.
     */
    readonly recordedMilliseconds?: number;
  }
  | { readonly kind: OfferCheckKind.NotSupported }
  | { readonly kind: OfferCheckKind.NoReply }
  | { readonly kind: OfferCheckKind.Rejected }
  | { readonly kind: OfferCheckKind.NotConnected };
