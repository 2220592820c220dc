/** How the platform's list showed a VM. */
export enum VmSightingState {
  /** Listed as live. */
  Live = "live",
  /** Listed as leaving. */
  Leaving = "leaving",
  /** No longer listed. */
  Gone = "gone",
}
