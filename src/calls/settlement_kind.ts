/** What a node knows of a try that another node lost contact with. */
export enum SettlementKind {
  /** It ran; the answer follows where it was kept. */
  Finished = "finished",
  Running = "running",
  /** It was not dispatched and will not be. */
  NotRun = "not-run",
  /** It was dispatched, and no whole answer came. */
  Unknown = "unknown",
}
