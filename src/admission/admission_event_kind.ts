/** What the admission hears of. */
export enum AdmissionEventKind {
  Started = "started",
  Requested = "requested",
  Withdrawn = "withdrawn",
  /** An admitted call that nobody is left to dispatch. */
  Unclaimed = "unclaimed",
  Reported = "reported",
  SnapshotApplied = "snapshot-applied",
  ProbeAnswered = "probe-answered",
  ProbeFailed = "probe-failed",
  DrainRequested = "drain-requested",
  InstantReached = "instant-reached",
}
