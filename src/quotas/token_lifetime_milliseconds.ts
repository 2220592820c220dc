/**
 * Time from the request of a token to its expiry. Calls of a window may use
 * tokens that were granted this long before the window.
 */
export const tokenLifetimeMilliseconds = 500;
