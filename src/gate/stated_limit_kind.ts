/** What is known of the rate limit that a backend server states in its answers. */
export enum StatedLimitKind {
  /** This incarnation has not answered since the node started. */
  Unknown = "unknown",
  /** Its answers state no limit. */
  None = "none",
  /** Its answers state a limit. */
  Limited = "limited",
}
