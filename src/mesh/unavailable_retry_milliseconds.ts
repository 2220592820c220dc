/**
 * Delay before a retry at a backend server that is down or is not the intended
 * one.
 */
export const unavailableRetryMilliseconds = 200;
