import { getRetrySlice } from "./get_retry_slice.ts";
import type { RetryAllowance } from "./retry_allowance.ts";
import type { RetryCounts } from "./retry_counts.ts";

/** Part of the ratio that is used; the rest covers calls that a repeated run makes in turn. */
const usedRatioShare = 0.3;
/** Part of the slack that is used, for the same reason. */
const usedSlackShare = 0.15;

/**
 * Books one repeated send, or returns false where the budget is spent.
 *
 * All nodes share the budget without talking: the ratio applies to the
 * requests that this node took itself, and the slack is divided by the number
 * of nodes, so that the sum over all nodes stays within the allowance.
 */
export function trySpendRepeat(
  counts: RetryCounts,
  options: {
    readonly allowance: RetryAllowance;
    readonly nodes: number;
    readonly now: number;
  },
): boolean {
  const { allowance, nodes } = options;
  const slice = getRetrySlice(counts, options);
  const requests = counts.reduce((sum, { requests }) => sum + requests, 0);
  const repeats = counts.reduce((sum, { repeats }) => sum + repeats, 0);
  const allowed = allowance.ratio * usedRatioShare * requests +
    allowance.slack * usedSlackShare / Math.max(1, nodes);
  if (repeats + 1 > allowed) return false;
  slice.repeats += 1;
  return true;
}
