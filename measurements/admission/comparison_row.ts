/** Results of one policy under one scenario; each list has one value per seed. */
export interface ComparisonRow {
  readonly comparison: string;
  readonly scenario: string;
  readonly variant: string;
  /** Fraction of the calls that were answered completely, from 0 to 1, by class and over all classes. */
  readonly whole: Readonly<Record<string, readonly number[]>>;
  /** Calls that were dispatched but not answered, per thousand calls sent. */
  readonly failedInThousand: readonly number[];
  /** Mean time from arrival to answer, in milliseconds. */
  readonly wholeMilliseconds: readonly number[];
  /** Calls that the backend server shed. */
  readonly shed: readonly number[];
  /** Crashes of the backend server. */
  readonly falls: readonly number[];
  /** Highest number of calls that ran on the backend server at once. */
  readonly peakRunning: readonly number[];
  /**
   * Time from the last event until the concurrency limit reached the registered
   * slots, in milliseconds; at most the duration of the run.
   */
  readonly fullLimitAfterMilliseconds: readonly number[];
}
