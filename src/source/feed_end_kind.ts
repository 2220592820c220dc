/** Why a node stopped following a neighbour's feed. */
export enum FeedEndKind {
  /** The neighbour serves no feed, or cannot continue from the requested revision. */
  Refused = "refused",
  /** The connection failed, broke or delivered an invalid line. */
  Lost = "lost",
  /** The neighbour's view was too old, or no line arrived in time. */
  Stale = "stale",
  /** Changes are missing because they exceed the size limit or cannot be applied here. */
  Gap = "gap",
  /** The feed no longer shows well enough that the rules are current. */
  Renewed = "renewed",
  /** The neighbour is leaving. */
  Leaving = "leaving",
}
