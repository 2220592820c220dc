/** What was decided on a call, or happened to it. */
export enum CallEventKind {
  /** The caller got the answer of a backend server. */
  Answered = "call-answered",
  /** The caller got a refusal of this node. */
  Refused = "call-refused",
  /** The caller left before its answer. */
  Abandoned = "call-abandoned",
  /** Another node or the backend server turned the call away; the next one is asked. */
  OfferRefused = "offer-refused",
  /** Contact was lost after the call had been sent. */
  OfferLost = "offer-lost",
  /** The call is sent once more after it may have run. */
  Retried = "call-repeated",
  /** The exchange with the backend server of this VM ended. */
  Exchanged = "call-exchanged",
  /** The call waits for a slot of the backend server of this VM. */
  Queued = "call-queued",
}
