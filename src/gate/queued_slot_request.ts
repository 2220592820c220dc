import type { SlotRequest } from "./slot_request.ts";

/** A call in the queue of a gate. */
export interface QueuedSlotRequest {
  readonly request: SlotRequest;
  /** When the call joined the queue, in milliseconds since the Unix epoch. */
  readonly queuedAt: number;
}
