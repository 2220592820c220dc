const millisecondsPerSecond = 1000;

/**
 * Returns the value of `Retry-After` for an instant: whole seconds, rounded up.
 * Both parameters are in milliseconds since the Unix epoch.
 */
export function getRetryAfterSeconds(retryAt: number, now: number): number {
  return Math.max(0, Math.ceil((retryAt - now) / millisecondsPerSecond));
}
