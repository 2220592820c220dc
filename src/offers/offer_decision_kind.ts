/** What becomes of an unconfirmed offer after a check. */
export enum OfferDecisionKind {
  /** The node has the offer, as far as it can be known; no further check. */
  Keep = "keep",
  /** The offer stays and is checked again. */
  CheckAgain = "check-again",
  /** The offer is given up. */
  GiveUp = "give-up",
}
