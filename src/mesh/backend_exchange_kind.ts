/** How an exchange with the backend server of this VM ended. */
export enum BackendExchangeKind {
  Answered = "answered",
  /** It stated that it did not run the request. */
  NotRun = "turned-away",
  /** Another incarnation stands at the address. */
  Misdirected = "misdirected",
  /** No connection could be made, so nothing was sent. */
  NotConnected = "not-connected",
  /** The connection ended, or the answer is not one to this request. */
  Broken = "broken",
}
