/** The maximum number of retries in a burst; also the initial number of tokens. */
export const retryBudgetCapacity = 10;
