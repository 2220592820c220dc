import type { RefusalReason } from "../calls/refusal_reason.ts";

/** Receives the decision on a call that waits for a slot. */
export interface SlotWaiter {
  onGranted(): void;
  onRefused(reason: RefusalReason, retryMilliseconds: number): void;
}
