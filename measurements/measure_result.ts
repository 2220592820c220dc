import type { MeasureChart } from "./measure_chart.ts";
import type { MeasureTable } from "./measure_table.ts";
import type { TargetCheck } from "./target_check.ts";

/** The results of one measure. */
export interface MeasureResult {
  readonly tables: readonly MeasureTable[];
  readonly charts: readonly MeasureChart[];
  readonly targets: readonly TargetCheck[];
  /** Limitations of the result, each in one or a few sentences. */
  readonly notes: readonly string[];
  /** The figures behind the tables, written to the JSON file. */
  readonly data: unknown;
}
