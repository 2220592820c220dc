/** Why a control call has no result. */
export enum ControlFailureKind {
  /** No connection could be opened: the request never left this node. */
  ConnectionFailed = "connection-failed",
  /** The deadline passed, or the connection broke, after the request was sent. */
  NoAnswer = "no-answer",
  /** The other node answered with a JSON-RPC error or with something else than JSON-RPC. */
  Rejected = "rejected",
}
