/** What a rule of choice brings callers and backend servers. */
export interface ChoiceFigures {
  /** 99th percentile of the wait for a slot, in milliseconds. */
  readonly waitPercentile99Milliseconds: number;
  /** 99th percentile of wait and service time, in milliseconds. */
  readonly answerPercentile99Milliseconds: number;
  /** Share of calls that were answered after the goal. */
  readonly lateShare: number;
  /** Standard deviation of the share of time in which slots are in use. */
  readonly useDeviation: number;
  /** Mean number of offers that a call needed. */
  readonly offersMean: number;
  /** Share of calls that went to the backend server of their own VM. */
  readonly ownShare: number;
}
