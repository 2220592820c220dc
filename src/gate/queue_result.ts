import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";

/** The result of processing a gate's queue. */
export interface QueueResult {
  /** Calls that left the queue and now occupy a slot. */
  readonly granted: readonly QueuedSlotRequest[];
  /** Calls that left the queue because they can no longer be served. */
  readonly refused: readonly QueuedSlotRequest[];
  /** Why the calls in `refused` were refused. */
  readonly reason: RefusalReason;
  /** How long a refused caller should wait before a retry. */
  readonly retryMilliseconds: number;
}
