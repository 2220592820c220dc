/** Delays of a node that serves an offer, in milliseconds. */
export const offerDelays = {
  /**
   * Until the message that confirms to the other node that this one received
   * the offer. Most answers arrive sooner; the delay is well below the time after
   * which the other node queries for the offer.
   */
  confirmationMilliseconds: 200,
  /** Time after the deadline of an offer until this node ends it: the other node, which ends the call at the deadline, does so first. */
  deadlineGraceMilliseconds: 250,
} as const;
