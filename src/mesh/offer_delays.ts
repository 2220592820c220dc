/** Delays of a node that serves an offer, in milliseconds. */
export const offerDelays = {
  /**
   * Until the message that confirms to the other node that this one received
   * the offer. Most answers arrive sooner; the delay is well below the time after
   * which the other node queries for the offer.
   */
  confirmationMilliseconds: 200,
  /** The other node, which ends the call at its deadline, goes first. */
  deadlineGraceMilliseconds: 250,
} as const;
