/** Kinds of replies to an outcome query. */
export enum SettlementKind {
  /** The attempt ran; the answer is included if it was stored. */
  Finished = "finished",
  Running = "running",
  /** The attempt was not dispatched and will not be. */
  NotRun = "not-run",
  /** The attempt was dispatched, and no complete answer was received. */
  Unknown = "unknown",
}
