/** Bounds the lines of a log in each second. */
export interface LogRateLimiter {
  /** Returns whether a line may be written; `now` in milliseconds since the Unix epoch. */
  tryAcquire(now: number): boolean;
}
