/** Why contact with the node beside a backend server was lost. */
export enum ContactLossCause {
  /** The connection was closed or reset before a valid reply. */
  ConnectionEnded = "connection-ended",
  /** The offer was not confirmed, and its node cannot be reached. */
  NodeUnreachable = "node-unreachable",
  /** The node states that the offer did not arrive. */
  NotReceived = "not-received",
  /** The node states that it replied, but the reply did not arrive. */
  ReplyLost = "reply-lost",
}
