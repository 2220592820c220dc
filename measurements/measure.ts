import type { MeasureContext } from "./measure_context.ts";
import type { MeasureResult } from "./measure_result.ts";

/** A benchmark that answers one question by comparing runs with a baseline. */
export interface Measure {
  /** Value of the `--only` option and base name of the result files. */
  readonly name: string;
  readonly title: string;
  readonly question: string;
  /** Describes what the figures are compared with, and whether it was run or computed. */
  readonly baseline: string;
  /** Describes how the runs are repeated and how the spread is given. */
  readonly spread: string;
  /** Rejects if a run could not be carried out. */
  readonly run: (context: MeasureContext) => Promise<MeasureResult>;
}
