/** What became of the question to one peer. */
export enum StartupAnswer {
  Pending = "pending",
  /** The peer holds a version. */
  HoldsVersion = "holds-version",
  /** The peer holds none: it has just started too. */
  HoldsNone = "holds-none",
  Failed = "failed",
}
