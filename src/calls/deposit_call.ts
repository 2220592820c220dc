import type { RetryBudget } from "./retry_budget.ts";
import { retryBudgetCapacity } from "./retry_budget_capacity.ts";

/** Adds what one call earns: `retryBudgetPercent` hundredths of a try. */
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
