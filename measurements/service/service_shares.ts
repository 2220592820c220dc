/** How the calls ended whose caller stayed, and how many callers left. */
export interface ServiceShares {
  readonly sent: number;
  /** Calls whose caller hung up. */
  readonly abandoned: number;
  /** Shares of the calls whose caller stayed. */
  readonly whole: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Wrong, cut, or without a listener. */
  readonly broken: number;
  /** Of the whole answers, in milliseconds: the median over the seconds, weighted by nothing. */
  readonly medianMilliseconds: number;
  /** The highest 99th percentile of a second. */
  readonly worstPercentile99Milliseconds: number;
}
