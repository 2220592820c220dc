import type { TopLevelSpec } from "vega-lite";

/** A chart of a result page. */
export interface MeasureChart {
  /** The file name without its extension. */
  readonly name: string;
  readonly title: string;
  readonly specification: TopLevelSpec;
}
