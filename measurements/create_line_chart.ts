import type { MeasureChart } from "./measure_chart.ts";

const chartWidth = 640;
const chartHeight = 280;

/** Creates a chart with one line for each `series`. */
export function createLineChart(
  name: string,
  options: {
    readonly title: string;
    readonly horizontal: string;
    readonly vertical: string;
    readonly points: readonly {
      readonly horizontal: number;
      readonly vertical: number;
      readonly series: string;
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
      height: chartHeight,
      background: "white",
      data: { values: options.points.map((point) => ({ ...point })) },
      mark: { type: "line", point: true },
      encoding: {
        x: {
          field: "horizontal",
          type: "quantitative",
          title: options.horizontal,
        },
        y: { field: "vertical", type: "quantitative", title: options.vertical },
        color: { field: "series", type: "nominal", title: "" },
      },
    },
  };
}
