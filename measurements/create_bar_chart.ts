import { createChart } from "./create_chart.ts";
import type { MeasureChart } from "./measure_chart.ts";

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
  const { title, value, bars } = options;
  return createChart(name, {
    title,
    viewSpecification: {
      data: { values: bars },
      mark: "bar",
      encoding: {
        y: { field: "group", type: "nominal", title: "" },
        yOffset: { field: "series" },
        x: { field: "value", type: "quantitative", title: value },
        color: { field: "series", type: "nominal", title: "" },
      },
    },
  });
}
