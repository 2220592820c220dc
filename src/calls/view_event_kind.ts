/** Events that change a node's view of a backend server. */
export enum ViewEventKind {
  CallSent = "call-sent",
  CallEnded = "call-ended",
  /** A response reported the number of free slots. */
  LoadReported = "load-reported",
  RecordReceived = "record-received",
  /** The node beside the backend server responded. */
  ContactMade = "contact-made",
  /** No connection could be opened, or one became silent. */
  ContactFailed = "contact-failed",
  /** The node beside the backend server refuses all new calls for now. */
  WorkRefused = "work-refused",
  /**
   * The node beside the backend server answered a call after it had refused all
   * new calls, or the rules changed.
   */
  WorkAccepted = "work-accepted",
}
