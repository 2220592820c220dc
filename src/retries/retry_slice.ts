/** The counts of one slice of the sliding window of a service's retry budget. */
export interface RetrySlice {
  /** Index of the slice, counted from the Unix epoch. */
  readonly index: number;
  /** Number of calls to the service. */
  calls: number;
  /** Number of retries sent. */
  repeats: number;
}
