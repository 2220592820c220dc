import type { RetryBudget } from "./retry_budget.ts";

/** Tells whether the budget has room for one more try. */
export function isRetryAllowed(budget: RetryBudget): boolean {
  return budget.tokens >= 1;
}
