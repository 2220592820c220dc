/** States of a key in a ledger. */
export enum LedgerEntryKind {
  /** Did not run here; other servers have fenced it and may run it. */
  Fenced = "fenced",
  /** Other ledgers are being queried before the key may run. */
  Settling = "settling",
  Running = "running",
  Finished = "finished",
  /** Was dispatched here, and no complete answer was received. */
  Unknown = "unknown",
}
