/** A decision on a call, or an event of its processing. */
export enum CallEventKind {
  /** The caller received the answer of a backend server. */
  Answered = "call-answered",
  /** The caller received a refusal of this node. */
  Refused = "call-refused",
  /** The service is known to be full, so the call is refused without an offer. */
  RefusedWithoutOffer = "refused-without-offer",
  /** The caller disconnected before its answer. */
  Abandoned = "call-abandoned",
  /**
   * Another node or the backend server refused the call; the next candidate
   * receives it.
   */
  OfferRefused = "offer-refused",
  /** Contact was lost after the call had been sent. */
  OfferLost = "offer-lost",
  /** The node that a call was offered to was queried for it. */
  OfferChecked = "offer-checked",
  /** The call is sent again after an attempt that reached a backend server. */
  Retried = "call-repeated",
  /** The exchange with the backend server of this VM ended. */
  Exchanged = "call-exchanged",
  /** An unexpected error ended the call at this node. */
  InternalError = "call-internal-error",
  /** The call waits for a slot of the backend server of this VM. */
  Queued = "call-queued",
}
