/** The state of a VM according to the list of the platform. */
export enum VmSightingState {
  /** Listed as live. */
  Live = "live",
  /** Listed as leaving. */
  Leaving = "leaving",
  /** No longer listed. */
  Gone = "gone",
}
