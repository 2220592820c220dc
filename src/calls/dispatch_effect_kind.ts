/** What the node beside a backend server has to do next for a try. */
export enum DispatchEffectKind {
  ConsultLedger = "consult-ledger",
  RequestSlot = "request-slot",
  WithdrawRequest = "withdraw-request",
  /** Give the call to the backend server. */
  Dispatch = "dispatch",
  /** Close the connection to the backend server, which cancels the run. */
  CancelDispatch = "cancel-dispatch",
  /** Tell the admission how the run ended. */
  Report = "report",
  /** Keep the outcome for nodes that ask for it, and tell the ledger. */
  Conclude = "conclude",
  Refuse = "refuse",
  /** Send the held answer. */
  SendAnswer = "send-answer",
  SendStoredAnswer = "send-stored-answer",
  BeginStream = "begin-stream",
  EndStream = "end-stream",
  /** Close the connection over which the call came, so that the cut answer cannot look whole. */
  BreakStream = "break-stream",
  /** Show the other node that the call is still held here. */
  SendSign = "send-sign",
}
