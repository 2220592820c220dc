import { CallPriority } from "../configuration/call_priority.ts";
import type { RetryBudget } from "./retry_budget.ts";

/**
 * Whether another try may be made. Calls of high priority do not wait for the
 * budget: the admission beside each backend server serves them first, so a try
 * elsewhere adds no load that would harm it, and the number of tries is bounded
 * for every call. They spend the budget all the same, before lower priorities.
 */
export function isRetryAllowed(
  budget: RetryBudget,
  priority: CallPriority,
): boolean {
  return priority === CallPriority.High || budget.tokens >= 1;
}
