/** Numbers of calls sent and abandoned, and the outcomes of the calls that were not abandoned. */
export interface ServiceShares {
  readonly sent: number;
  /** Calls that their caller abandoned. */
  readonly abandoned: number;
  /** Complete answers, as a fraction of the calls that were not abandoned; so are the next three. */
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Calls with a wrong or incomplete answer, or for which no connection could be opened. */
  readonly broken: number;
  /** Median over the unweighted medians of the seconds, of complete answers. */
  readonly medianMilliseconds: number;
  /** Highest 99th percentile of a second, of complete answers. */
  readonly worstPercentile99Milliseconds: number;
}
