/** Why a node no longer follows a neighbour's feed. */
export enum FeedEndKind {
  /** The neighbour has nothing to pass on, or not from this revision. */
  Refused = "refused",
  /** No connection, or one that broke. */
  Lost = "lost",
  /** What it passed on was too old. */
  Stale = "stale",
  /** What changed was too much to be passed on. */
  Gap = "gap",
  /** The neighbour is leaving. */
  Leaving = "leaving",
}
