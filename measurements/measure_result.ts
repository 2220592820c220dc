import type { MeasureChart } from "./measure_chart.ts";
import type { MeasureTable } from "./measure_table.ts";
import type { TargetCheck } from "./target_check.ts";

/** What one measure found. */
export interface MeasureResult {
  readonly tables: readonly MeasureTable[];
  readonly charts: readonly MeasureChart[];
  readonly targets: readonly TargetCheck[];
  /** What limits the result, one sentence each. */
  readonly notes: readonly string[];
  /** The figures behind the tables, for programs. */
  readonly data: unknown;
}
