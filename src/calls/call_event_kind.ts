/** What can happen to a call on the node that took it. */
export enum CallEventKind {
  /** The request is whole. */
  Started = "started",
  /** A backend server was chosen and the call handed over. */
  Sent = "sent",
  /** No backend server may take the call. */
  NoneChosen = "none-chosen",
  /** The call is being written, or the node beside the backend server shows that it holds it. */
  Heard = "heard",
  /** The answer is whole and held back. */
  AnswerWhole = "answer-whole",
  /** The answer is too long to hold back and begins to go out. */
  AnswerStreams = "answer-streams",
  /** The last byte of a long answer has come. */
  StreamEnded = "stream-ended",
  /** The node beside the backend server refused. */
  Refused = "refused",
  /** The call did not leave this node. */
  NotSent = "not-sent",
  /** The connection broke after the call was sent, or the answer is malformed. */
  ContactLost = "contact-lost",
  Settled = "settled",
  /** The settlement question was not answered. */
  SettlementFailed = "settlement-failed",
  Woke = "woke",
  CallerLeft = "caller-left",
  /** The node ends now. */
  Stopped = "stopped",
}
