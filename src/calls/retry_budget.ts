/** A token bucket that bounds the tries beyond the first by a share of all calls. */
export interface RetryBudget {
  /** Tries that may be made now; fractions build up with each call. */
  readonly tokens: number;
}
