/** One policy under one load; each list has one figure for each seed. */
export interface ComparisonRow {
  readonly comparison: string;
  readonly scenario: string;
  readonly variant: string;
  /** The part of the calls that was answered whole, by class and over all, from 0 to 1. */
  readonly whole: Readonly<Record<string, readonly number[]>>;
  /** Calls that were dispatched and not answered, in a thousand calls sent. */
  readonly failedInThousand: readonly number[];
  /** The mean time from arrival to answer, in milliseconds. */
  readonly wholeMilliseconds: readonly number[];
  readonly shed: readonly number[];
  readonly falls: readonly number[];
  readonly peakRunning: readonly number[];
  /** Until the limit stood at the slots, in milliseconds; the rest of the run where it never did. */
  readonly fullLimitAfterMilliseconds: readonly number[];
}
