/** How an exchange with the backend server of this VM ended. */
export enum BackendExchangeKind {
  Answered = "answered",
  /** The backend server stated that it did not run the request. */
  NotRun = "turned-away",
  /** Another incarnation than the intended one answered at the address. */
  Misdirected = "misdirected",
  /** No connection could be established, so nothing was sent. */
  NotConnected = "not-connected",
  /** The backend server accepted a connection and ended it before anything was sent, as a full one does. */
  ConnectionRejected = "connection-rejected",
  /** The connection ended, or the answer does not belong to this request. */
  Broken = "broken",
}
