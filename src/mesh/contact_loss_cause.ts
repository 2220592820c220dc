/** Why contact with the node beside a backend server was lost. */
export enum ContactLossCause {
  /** The connection was closed or reset before a valid reply. */
  ConnectionEnded = "connection-ended",
  /** Neither an interim response nor a reply arrived in time. */
  Unconfirmed = "unconfirmed",
}
