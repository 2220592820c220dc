import { CallPriority } from "../configuration/call_priority.ts";
import type { RetryBudget } from "./retry_budget.ts";

/**
 * Returns whether a retry may be made.
 *
 * Calls of high priority may be retried with an empty budget: the admission
 * beside each backend server serves them first, so their retries add no harmful
 * load, and the number of attempts is bounded for every call. Their retries are
 * still withdrawn from the budget, so they reduce it for lower priorities.
 */
export function isRetryAllowed(
  budget: RetryBudget,
  priority: CallPriority,
): boolean {
  return priority === CallPriority.High || budget.tokens >= 1;
}
