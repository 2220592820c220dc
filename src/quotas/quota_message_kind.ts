/** What a node wants of another one concerning an organisation's quota. */
export enum QuotaMessageKind {
  Tokens = "tokens",
  /** That the receiver, if it grants nothing itself, lets the sender grant as owner. */
  Lease = "lease",
  /** That the receiver gives the ownership up to the sender. */
  Release = "release",
}
