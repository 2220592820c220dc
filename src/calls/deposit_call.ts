import type { RetryBudget } from "./retry_budget.ts";
import { retryBudgetCapacity } from "./retry_budget_capacity.ts";

/** Returns the budget after one call, which adds `retryBudgetPercent` hundredths of a retry. */
export function depositCall(
  budget: RetryBudget,
  retryBudgetPercent: number,
): RetryBudget {
  return {
    tokens: Math.min(
      retryBudgetCapacity,
      budget.tokens + retryBudgetPercent / 100,
    ),
  };
}
