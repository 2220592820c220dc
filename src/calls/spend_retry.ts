import type { RetryBudget } from "./retry_budget.ts";

/** Returns the budget after one retry was withdrawn. */
export function spendRetry(budget: RetryBudget): RetryBudget {
  return { tokens: Math.max(0, budget.tokens - 1) };
}
