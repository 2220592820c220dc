import type { TopLevelSpec } from "vega-lite";

/** A chart of a result page, as a Vega-Lite specification. */
export interface MeasureChart {
  /** File name without its extension. */
  readonly name: string;
  readonly title: string;
  readonly specification: TopLevelSpec;
}
