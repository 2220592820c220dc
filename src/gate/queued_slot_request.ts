import type { SlotRequest } from "./slot_request.ts";

/** A call that waits for a slot. */
export interface QueuedSlotRequest {
  readonly request: SlotRequest;
  /** In milliseconds since the Unix epoch. */
  readonly queuedAt: number;
}
