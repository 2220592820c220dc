import type { RetryBudget } from "./retry_budget.ts";

/** Takes one try out of the budget. */
export function spendRetry(budget: RetryBudget): RetryBudget {
  return { tokens: Math.max(0, budget.tokens - 1) };
}
