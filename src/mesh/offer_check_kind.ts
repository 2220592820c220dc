/** The result of a check of an unconfirmed offer. */
export enum OfferCheckKind {
  /** The other node replied with the status of the offer. */
  Status = "status",
  /** The VM accepted a connection, but its node did not reply in time. */
  NoReply = "no-reply",
  /** No connection to the other node could be established. */
  Unreachable = "unreachable",
}
