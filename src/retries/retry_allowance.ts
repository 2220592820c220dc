/** The retry budget of one service: how many retries all nodes together may send. */
export interface RetryAllowance {
  /** Retries for each call in the window. */
  readonly ratio: number;
  /** Retries in the window on top of the ratio, whatever the number of calls. */
  readonly slack: number;
  /** Length of the sliding window. */
  readonly windowMilliseconds: number;
}
