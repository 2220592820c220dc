/** Percentiles of the time from arrival to the end of the answer, in milliseconds. */
export interface LatencySummary {
  readonly service: string;
  readonly count: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly maximumMilliseconds: number;
}
