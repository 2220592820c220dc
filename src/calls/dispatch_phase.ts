/** Phases of an attempt on the node beside its backend server. */
export enum DispatchPhase {
  /** The ledger determines whether the call may run. */
  AwaitingLedger = "awaiting-ledger",
  /** Waiting for a slot. */
  Queued = "queued",
  /** Sent to the backend server; no answer has begun. */
  Running = "running",
  /** An answer that exceeds the buffer is being streamed. */
  Streaming = "streaming",
  Ended = "ended",
}
