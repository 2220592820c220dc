/** A token bucket that limits retries to a share of all calls. */
export interface RetryBudget {
  /** The number of retries that are available; each call adds a fraction. */
  readonly tokens: number;
}
