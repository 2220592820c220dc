/** Order statistics of a set of samples, in the unit of the samples. */
export interface SampleSummary {
  readonly count: number;
  readonly minimum: number;
  readonly median: number;
  readonly percentile99: number;
  readonly maximum: number;
}
