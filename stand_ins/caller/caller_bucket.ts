import type { CallEnding } from "./call_ending.ts";

/** The attempts of one service and priority that were sent within one second. */
export interface CallerBucket {
  /** Seconds since the caller's start. */
  readonly second: number;
  readonly service: string;
  readonly priority: string;
  readonly sent: number;
  readonly endings: Readonly<Partial<Record<CallEnding, number>>>;
  /** Median time from sending to the complete answer; null if no attempt was answered. */
  readonly medianMilliseconds: number | null;
  /** 99th percentile of the same time; null if no attempt was answered. */
  readonly percentile99Milliseconds: number | null;
}
