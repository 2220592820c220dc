/** Limits the number of log lines per second. */
export interface LogRateLimiter {
  /**
   * Returns whether a line may be written. `now` is in milliseconds on
   * the steady clock.
   */
  tryAcquire(now: number): boolean;
  /** Reports the lines dropped in a second that is over at `now`. */
  reportDropped(now: number): void;
}
