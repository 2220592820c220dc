import type { CallPath } from "./call_path.ts";

/** Latencies of one path in one block of interleaved calls, in milliseconds. */
export interface CostFigures {
  readonly path: CallPath;
  readonly median: number;
  readonly percentile99: number;
  /** Difference to the median of the direct calls of the same block. */
  readonly addedMedian: number;
  /** Difference to the 99th percentile of the direct calls. */
  readonly addedPercentile99: number;
  /** Quotients of the same values. */
  readonly ratioMedian: number;
  readonly ratioPercentile99: number;
}
