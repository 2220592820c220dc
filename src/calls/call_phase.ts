/** Phases of a call on the node that received it from its caller. */
export enum CallPhase {
  /** A backend server is being chosen. */
  Choosing = "choosing",
  /** The call was forwarded; no answer has begun. */
  Sent = "sent",
  /** The outcome of an attempt whose connection was lost is being queried. */
  Settling = "settling",
  /** The attempt whose connection was lost is running; its outcome will be queried again. */
  AwaitingOutcome = "awaiting-outcome",
  /** An answer that exceeds the buffer is being streamed to the caller. */
  Streaming = "streaming",
  Ended = "ended",
}
