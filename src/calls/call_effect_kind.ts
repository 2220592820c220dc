/** Actions that `stepCall` asks the node of the caller to perform. */
export enum CallEffectKind {
  /** Choose a backend server and forward the call to the node beside it. */
  StartAttempt = "start-attempt",
  /** Cancel the current attempt and close its connection. */
  CancelAttempt = "cancel-attempt",
  /** Start or extend the backoff towards the node of the current attempt. */
  AvoidNode = "avoid-node",
  /** End the backoff towards the node of the last attempt, which has responded. */
  StopAvoiding = "stop-avoiding",
  /** Open new connections to the node of the current attempt: the existing ones may be dead. */
  RenewConnections = "renew-connections",
  /** Query the outcome of the current attempt on a new connection. */
  QueryOutcome = "query-outcome",
  /** Send the buffered answer to the caller. */
  SendAnswer = "send-answer",
  /** Start to stream the answer to the caller while it is received. */
  BeginStream = "begin-stream",
  EndStream = "end-stream",
  /** Send the stored answer that an outcome query returned. */
  SendStoredAnswer = "send-stored-answer",
  Refuse = "refuse",
  /**
   * Close the caller's connection so that a truncated answer cannot be taken
   * for a complete one.
   */
  AbortResponse = "abort-response",
  /** Drop the call, since the caller has left. */
  Abandon = "abandon",
  /** Withdraw one retry from the retry budget. */
  SpendRetry = "spend-retry",
}
