/** Percentiles of the time from the arrival of a call to the end of its answer. */
export interface LatencySummary {
  readonly service: string;
  readonly count: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly maximumMilliseconds: number;
}
