import type { CallPath } from "./call_path.ts";

/** What one block of interleaved calls shows of one path, in milliseconds. */
export interface CostFigures {
  readonly path: CallPath;
  readonly median: number;
  readonly percentile99: number;
  /** Beyond the direct call of the same block. */
  readonly addedMedian: number;
  readonly addedPercentile99: number;
  readonly ratioMedian: number;
  readonly ratioPercentile99: number;
}
