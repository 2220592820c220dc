import type { Measure } from "./measure.ts";
import type { MeasureResult } from "./measure_result.ts";

/** The result of one measure with the circumstances of its run. */
export interface MeasureReport {
  readonly measure: Measure;
  readonly result: MeasureResult;
  readonly command: string;
  readonly seed: number;
  readonly quick: boolean;
  /** Load averages over one minute, before and after the run. */
  readonly loadBefore: number;
  readonly loadAfter: number;
  readonly processors: number;
  /** In milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly endedAt: number;
}
