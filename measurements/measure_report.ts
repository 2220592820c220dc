import type { Measure } from "./measure.ts";
import type { MeasureResult } from "./measure_result.ts";

/** The result of one measure and the conditions of its run. */
export interface MeasureReport {
  readonly measure: Measure;
  readonly result: MeasureResult;
  /** Command line that repeats the run. */
  readonly command: string;
  readonly seed: number;
  readonly quick: boolean;
  /** Load averages of the machine over one minute, before and after the run. */
  readonly loadBefore: number;
  readonly loadAfter: number;
  /** Number of logical processors. */
  readonly processors: number;
  /** Start and end of the run, in milliseconds since the Unix epoch. */
  readonly startedAt: number;
  readonly endedAt: number;
}
