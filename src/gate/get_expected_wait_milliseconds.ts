import type { GateState } from "./gate_state.ts";
import { getExpectedSlotWaitMilliseconds } from "./get_expected_slot_wait_milliseconds.ts";
import { getTokenWaitMilliseconds } from "./get_token_wait_milliseconds.ts";
import { listActiveBuckets } from "./list_active_buckets.ts";

/**
 * Estimates how long a call with `ahead` queued calls before it waits for a
 * slot, and for the rate limits that apply.
 */
export function getExpectedWaitMilliseconds(
  state: GateState,
  options: { readonly ahead: number; readonly now: number },
): number {
  const { ahead, now } = options;
  const slotWait = getExpectedSlotWaitMilliseconds(state, { ahead });
  const tokenWaits = listActiveBuckets(state, now).map((bucket) =>
    getTokenWaitMilliseconds(bucket, { tokens: ahead + 1 })
  );
  return Math.max(slotWait, ...tokenWaits);
}
