/** When to come back to a backend server that is down, or not the one that was meant. */
export const unavailableRetryMilliseconds = 200;
