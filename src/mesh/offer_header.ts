/**
 * Headers that nodes send to each other. Callers cannot set them, since the
 * first node removes them.
 */
export enum OfferHeader {
  /** On a request: the offer, as JSON. */
  Offer = "catkinquay-offer",
  /** On a reply: the outcome of the offer, as JSON. */
  Reply = "catkinquay-reply",
  /** On a reply: the protocol of offer connections that the node accepts. */
  Protocol = "catkinquay-protocol",
  /**
   * On a request: the identifier of an offer, to query its status. On the reply:
   * that status.
   */
  Status = "catkinquay-offer-status",
  /**
   * On such a reply: how long the process has recorded offers, in whole
   * milliseconds.
   */
  Recorded = "catkinquay-offers-recorded",
  /** On a request: the identifiers of offers that the sender withdraws. */
  Withdraw = "catkinquay-withdraw-offers",
  /**
   * On a request: the position, as `ERA.REVISION`, after which the sender
   * follows the changes of the source.
   */
  Feed = "catkinquay-feed",
  /**
   * On a request: why the sender exchanges evidence of crashes, which is the
   * body of request and reply.
   */
  CrashEvidence = "catkinquay-crash-evidence",
  /**
   * On a request for what was withdrawn before the source came back from an older
   * copy: the era that the sender has read.
   */
  Withdrawals = "catkinquay-withdrawals",
  /** With such a request: the version of the rules that the sender has. */
  RulesVersion = "catkinquay-rules-version",
  /** On a request: a message about an organisation's quota, as JSON. */
  Quota = "catkinquay-quota",
}
