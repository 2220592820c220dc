/** The kinds of event that the admission handles. */
export enum AdmissionEventKind {
  Started = "started",
  Requested = "requested",
  Withdrawn = "withdrawn",
  /**
   * The request of an admitted call was withdrawn before the decision was
   * delivered, so the call is not dispatched.
   */
  Unclaimed = "unclaimed",
  Reported = "reported",
  SnapshotApplied = "snapshot-applied",
  ProbeSucceeded = "probe-succeeded",
  ProbeFailed = "probe-failed",
  DrainRequested = "drain-requested",
  InstantReached = "instant-reached",
}
