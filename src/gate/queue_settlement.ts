import type { RefusalReason } from "../calls/refusal_reason.ts";
import type { QueuedSlotRequest } from "./queued_slot_request.ts";

/** What became of waiting calls. */
export interface QueueSettlement {
  /** These hold a slot now. */
  readonly granted: readonly QueuedSlotRequest[];
  /** These cannot be served any more. */
  readonly refused: readonly QueuedSlotRequest[];
  readonly reason: RefusalReason;
  /** How long a refused caller should wait. */
  readonly retryMilliseconds: number;
}
