/** What a ledger knows of a key. */
export enum LedgerEntryKind {
  /** Did not run here; the named servers have fenced it and may run it. */
  Fenced = "fenced",
  /** Other ledgers are being asked. */
  Settling = "settling",
  Running = "running",
  Finished = "finished",
  /** Was dispatched here, and no whole answer came. */
  Unknown = "unknown",
}
