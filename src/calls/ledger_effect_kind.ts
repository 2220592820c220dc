/** Actions that `stepLedger` asks the node of the ledger to perform. */
export enum LedgerEffectKind {
  /** Query another ledger about the key, which fences the key there. */
  Query = "query",
  /** Allow the waiting call to run. */
  Allow = "allow",
  /** Respond to the waiting call with the answer of an earlier attempt. */
  SendStoredAnswer = "send-stored-answer",
  /** Let the call wait for the end of the run that it repeats. */
  Join = "join",
  Refuse = "refuse",
  /** Reply to the ledger that queried the key. */
  Reply = "reply",
}
