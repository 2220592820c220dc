/** What a node learns of a backend server that it sends calls to. */
export enum ViewEventKind {
  CallSent = "call-sent",
  CallEnded = "call-ended",
  /** An answer carried the number of free slots. */
  LoadReported = "load-reported",
  RecordReceived = "record-received",
  /** The node beside it gave a sign of life. */
  ContactMade = "contact-made",
  /** No connection could be opened, or one went silent. */
  ContactFailed = "contact-failed",
  /** The node beside it takes no new work for now. */
  WorkRefused = "work-refused",
  /** After it had refused all work it answered a call, or the rules changed. */
  WorkAccepted = "work-accepted",
}
