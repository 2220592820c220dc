/** Events of a key in a ledger. */
export enum LedgerEventKind {
  /** A call with the key requests to run here. */
  Requested = "requested",
  /** Another ledger replied to the query of the key. */
  SettlementReceived = "answered",
  /** Another ledger did not reply to the query of the key. */
  SettlementMissing = "unanswered",
  /** Another ledger queried the key, which fences it here. */
  Queried = "queried",
  /** An attempt that was allowed to run, or that joined a run, has ended. */
  AttemptEnded = "attempt-ended",
}
