/** Counts of one slice of a service's retry window. */
export interface RetrySlice {
  /** Number of the slice since the Unix epoch. */
  readonly index: number;
  requests: number;
  repeats: number;
}
