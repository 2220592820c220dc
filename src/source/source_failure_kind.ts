/** Why a read of the source failed. */
export enum SourceFailureKind {
  /** The connection failed, or no complete response arrived in time. */
  Unreachable = "unreachable",
  /** The source responded with an error status. */
  Rejected = "turned-away",
  /** The source no longer has the changes since the requested revision. */
  HistoryLost = "history-lost",
  /** The response is older than one before: its era has ended. */
  OutdatedEra = "outdated-era",
  /** The response could not be decoded. */
  Malformed = "malformed",
}
