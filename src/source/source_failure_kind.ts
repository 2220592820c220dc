/** Why the platform's source did not answer a read. */
export enum SourceFailureKind {
  /** No connection, no answer in time, or a broken one. */
  Unreachable = "unreachable",
  /** It answered that it serves no reads now. */
  TurnedAway = "turned-away",
  /** The changes since the revision are no longer known. */
  HistoryLost = "history-lost",
  /** The answer could not be understood. */
  Malformed = "malformed",
}
