import type { Spread } from "./spread.ts";

/** One policy under one load, over all seeds. */
export interface ComparisonRow {
  readonly comparison: string;
  readonly scenario: string;
  readonly variant: string;
  /** The part of the calls that was answered whole, by class and over all, from 0 to 1. */
  readonly whole: Readonly<Record<string, Spread>>;
  /** Calls that were dispatched and not answered, in a thousand calls sent. */
  readonly failedInThousand: Spread;
  /** The mean time from arrival to answer, in milliseconds. */
  readonly wholeMilliseconds: Spread;
  readonly shed: Spread;
  readonly falls: Spread;
  readonly peakRunning: Spread;
  /** Until the limit stood at the slots, in milliseconds; the rest of the run where it never did. */
  readonly fullLimitAfterMilliseconds: Spread;
}
