/** What the node that took a call has to do next. */
export enum CallEffectKind {
  /** Choose a backend server and hand the call over. */
  Try = "try",
  /** Give the current try up and close its connection. */
  CancelTry = "cancel-try",
  /** Avoid the node of the current try for a while. */
  AvoidNode = "avoid-node",
  /** The node of the last try has answered: avoid it no longer. */
  StopAvoiding = "stop-avoiding",
  /** Open new connections to the node of the current try: the old ones may be silent. */
  RenewConnections = "renew-connections",
  /** Ask for the outcome of the current try on a fresh connection. */
  Settle = "settle",
  /** Send the held answer to the caller. */
  SendAnswer = "send-answer",
  /** Begin to pass the answer on as it comes. */
  BeginStream = "begin-stream",
  EndStream = "end-stream",
  /** Send the answer that a settlement brought. */
  SendStoredAnswer = "send-stored-answer",
  Refuse = "refuse",
  /** Close the caller's connection so that the cut answer cannot look whole. */
  BreakCaller = "break-caller",
  /** Nobody waits for the answer any more. */
  Abandon = "abandon",
  /** Take one try out of the retry budget. */
  SpendRetry = "spend-retry",
}
