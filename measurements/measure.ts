import type { MeasureContext } from "./measure_context.ts";
import type { MeasureResult } from "./measure_result.ts";

/** One question, answered by runs beside a baseline. */
export interface Measure {
  /** Names the result page and the command line option. */
  readonly name: string;
  readonly title: string;
  readonly question: string;
  /** What the figures are compared with, and whether it ran or was computed. */
  readonly baseline: string;
  /** How often the runs were repeated and what the spread is. */
  readonly spread: string;
  /** Rejects when a run could not be carried out. */
  readonly run: (context: MeasureContext) => Promise<MeasureResult>;
}
