/** The most tries beyond the first that may be made in a burst; also the stock at the start. */
export const retryBudgetCapacity = 10;
