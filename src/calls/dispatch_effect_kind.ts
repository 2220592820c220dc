/** Actions that `stepDispatch` asks the node beside the backend server to perform. */
export enum DispatchEffectKind {
  ConsultLedger = "consult-ledger",
  RequestSlot = "request-slot",
  WithdrawRequest = "withdraw-request",
  /** Send the call to the backend server. */
  Dispatch = "dispatch",
  /** Close the connection to the backend server, which cancels the run. */
  CancelDispatch = "cancel-dispatch",
  /** Report to the admission how the run ended. */
  Report = "report",
  /** Record the outcome for outcome queries of other nodes and in the ledger. */
  RecordOutcome = "record-outcome",
  Refuse = "refuse",
  /** Send the buffered answer. */
  SendAnswer = "send-answer",
  SendStoredAnswer = "send-stored-answer",
  BeginStream = "begin-stream",
  EndStream = "end-stream",
  /**
   * Close the connection on which the call was received, so that a truncated
   * answer cannot be taken for a complete one.
   */
  AbortStream = "abort-stream",
  /** Send an interim response, which shows the other node that this one still has the call. */
  SendInterimResponse = "send-interim-response",
}
