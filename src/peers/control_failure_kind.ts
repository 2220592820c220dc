/** The reasons why a control request to a peer has no result. */
export enum ControlFailureKind {
  /** No connection could be opened, so the request was not sent. */
  ConnectionFailed = "connection-failed",
  /** The deadline passed, or the connection broke, after the request was sent. */
  NoResponse = "no-answer",
  /**
   * The other node responded with a JSON-RPC error, or with something that is
   * not JSON-RPC.
   */
  Rejected = "rejected",
}
