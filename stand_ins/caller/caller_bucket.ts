import type { CallEnding } from "./call_ending.ts";

/** The calls of one service and priority that were sent within one second. */
export interface CallerBucket {
  /** Seconds since the caller's start. */
  readonly second: number;
  readonly service: string;
  readonly priority: string;
  readonly sent: number;
  readonly endings: Readonly<Partial<Record<CallEnding, number>>>;
  /** Time from sending to the whole answer, in milliseconds; null without one. */
  readonly medianMilliseconds: number | null;
  readonly percentile99Milliseconds: number | null;
}
