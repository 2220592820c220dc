/** The status of the startup query to one peer. */
export enum StartupQueryStatus {
  Pending = "pending",
  /** The peer stores a version. */
  HasVersion = "has-version",
  /** The peer stores no version, since it has just started too. */
  HasNoVersion = "has-no-version",
  Failed = "failed",
}
