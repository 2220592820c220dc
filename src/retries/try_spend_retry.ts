import { getRetrySlice } from "./get_retry_slice.ts";
import type { RetryAllowance } from "./retry_allowance.ts";
import type { RetryCounts } from "./retry_counts.ts";

/** Share of the ratio that is used; the rest covers the calls that a retried call causes in turn. */
const usedRatioShare = 0.3;
/** Share of the slack that is used, for the same reason. */
const usedSlackShare = 0.15;

/**
 * Spends one retry of the budget and returns true, or returns false if the
 * budget is spent.
 *
 * All nodes share the budget without communication: the ratio applies to the
 * calls that this node counted itself, and the slack is divided by the number
 * of nodes, so that the sum over all nodes stays within the allowance.
 */
export function trySpendRetry(
  counts: RetryCounts,
  options: {
    readonly allowance: RetryAllowance;
    /** Number of nodes that share the budget. */
    readonly nodes: number;
    readonly now: number;
  },
): boolean {
  const { allowance, nodes } = options;
  const slice = getRetrySlice(counts, options);
  const calls = counts.reduce((sum, { calls }) => sum + calls, 0);
  const retries = counts.reduce(
    (sum, { repeats: retries }) => sum + retries,
    0,
  );
  const allowed = allowance.ratio * usedRatioShare * calls +
    allowance.slack * usedSlackShare / Math.max(1, nodes);
  if (retries + 1 > allowed) return false;
  slice.repeats += 1;
  return true;
}
