/** Where a try stands on the node beside its backend server. */
export enum DispatchPhase {
  /** The ledger of keys settles whether the call may run. */
  AwaitingLedger = "awaiting-ledger",
  /** Waits for a slot. */
  Queued = "queued",
  /** Given to the backend server; no answer has begun to go out. */
  Running = "running",
  /** An answer too long to hold is on its way. */
  Streaming = "streaming",
  Ended = "ended",
}
