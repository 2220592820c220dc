import type { TopLevelSpec } from "vega-lite";
import type { MeasureChart } from "./measure_chart.ts";

const chartWidth = 640;

/** Creates a chart with the common width and background; `viewSpecification` adds data, mark and encoding in Vega-Lite. */
export function createChart(
  name: string,
  options: { readonly title: string; readonly viewSpecification: object },
): MeasureChart {
  return {
    name,
    title: options.title,
    specification: {
      $schema: "https://vega.github.io/schema/vega-lite/v6.json",
      title: options.title,
      width: chartWidth,
      background: "white",
      ...options.viewSpecification,
    } as TopLevelSpec,
  };
}
