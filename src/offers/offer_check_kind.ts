/** The result of a check of an unconfirmed offer. */
export enum OfferCheckKind {
  /** The other node replied with the status of the offer. */
  Status = "status",
  /** The other node replied, but does not know such queries. */
  NotSupported = "not-supported",
  /** The VM accepted a connection, but its node did not reply in time. */
  NoReply = "no-reply",
  /** The VM rejected the connection: its node does not run. */
  Rejected = "rejected",
  /** The VM did not respond to the connection attempt in time. */
  NotConnected = "not-connected",
}
