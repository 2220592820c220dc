import type { MeasureChart } from "./measure_chart.ts";

const chartWidth = 640;

/** Creates a chart with a group of horizontal bars for each `group`. */
export function createBarChart(
  name: string,
  options: {
    readonly title: string;
    readonly value: string;
    readonly bars: readonly {
      readonly group: string;
      readonly series: string;
      readonly value: number;
    }[];
  },
): MeasureChart {
  return {
    name,
    title: options.title,
    specification: {
      $schema: "https://vega.github.io/schema/vega-lite/v6.json",
      title: options.title,
      width: chartWidth,
      background: "white",
      data: { values: options.bars.map((bar) => ({ ...bar })) },
      mark: "bar",
      encoding: {
        y: { field: "group", type: "nominal", title: "" },
        yOffset: { field: "series" },
        x: { field: "value", type: "quantitative", title: options.value },
        color: { field: "series", type: "nominal", title: "" },
      },
    },
  };
}
