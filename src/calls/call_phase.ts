/** Where a caller's call stands on the node that took it. */
export enum CallPhase {
  /** A backend server is being chosen. */
  Choosing = "choosing",
  /** Handed over; no answer has begun. */
  Sent = "sent",
  /** The outcome of a lost try is being asked for. */
  Settling = "settling",
  /** A lost try is running; its outcome will be asked for again. */
  AwaitingOutcome = "awaiting-outcome",
  /** An answer too long to hold is on its way to the caller. */
  Streaming = "streaming",
  Ended = "ended",
}
