import { getRetrySlice } from "./get_retry_slice.ts";
import type { RetryAllowance } from "./retry_allowance.ts";
import type { RetryCounts } from "./retry_counts.ts";

/** Counts a call to a service towards its retry budget. */
export function countCallForRetries(
  counts: RetryCounts,
  options: { readonly allowance: RetryAllowance; readonly now: number },
): void {
  getRetrySlice(counts, options).calls += 1;
}
