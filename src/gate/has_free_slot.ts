import type { GateState } from "./gate_state.ts";
import { listActiveBuckets } from "./list_active_buckets.ts";
import { refillTokenBucket } from "./refill_token_bucket.ts";

/**
 * Returns whether the gate can admit one more call now: a slot is free, and each
 * rate limit that applies has a token left. Refills the tokens first if a slot is
 * free.
 */
export function hasFreeSlot(state: GateState, now: number): boolean {
  if (state.running.size >= state.slots) return false;
  const buckets = listActiveBuckets(state, now);
  buckets.forEach((bucket) => refillTokenBucket(bucket, now));
  return buckets.every(({ tokens }) => tokens >= 1);
}
