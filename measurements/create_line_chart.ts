import { createChart } from "./create_chart.ts";
import type { MeasureChart } from "./measure_chart.ts";

const chartHeight = 280;

/** Creates a chart with one line per `series`; `horizontal` and `vertical` are the titles of the axes. */
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
  const { title, horizontal, vertical, points } = options;
  return createChart(name, {
    title,
    viewSpecification: {
      height: chartHeight,
      data: { values: points },
      mark: { type: "line", point: true },
      encoding: {
        x: { field: "horizontal", type: "quantitative", title: horizontal },
        y: { field: "vertical", type: "quantitative", title: vertical },
        color: { field: "series", type: "nominal", title: "" },
      },
    },
  });
}
