/** Events of a call on the node that received it from its caller. */
export enum CallEventKind {
  /** The request was received completely. */
  Started = "started",
  /** A backend server was chosen and the call was forwarded to the node beside it. */
  Sent = "sent",
  /** No backend server is available for the call. */
  NoCandidate = "no-candidate",
  /** The call is being written, or an interim response shows that the other node still has it. */
  ActivityObserved = "activity-observed",
  /** The answer was received completely and is buffered. */
  AnswerCompleted = "answer-completed",
  /** The answer exceeds the buffer and has to be streamed. */
  StreamStarted = "stream-started",
  /** The last byte of a streamed answer was received. */
  StreamEnded = "stream-ended",
  /** The node beside the backend server refused the attempt. */
  Refused = "refused",
  /** The attempt was not sent, so it did not run. */
  NotSent = "not-sent",
  /** The connection broke after the call was sent, or the answer is malformed. */
  ContactLost = "contact-lost",
  SettlementReceived = "settlement-received",
  /** The outcome query failed or timed out. */
  OutcomeQueryFailed = "outcome-query-failed",
  TimerFired = "timer-fired",
  CallerLeft = "caller-left",
  /** The node process is stopping. */
  Stopped = "stopped",
}
