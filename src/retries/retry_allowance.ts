/** How many repeated sends all nodes together may make to one service. */
export interface RetryAllowance {
  /** Repeats for each request in the window. */
  readonly ratio: number;
  /** Repeats in the window whatever the number of requests. */
  readonly slack: number;
  readonly windowMilliseconds: number;
}
