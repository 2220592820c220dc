import { createChart } from "./create_chart.ts";
import type { MeasureChart } from "./measure_chart.ts";

/** Creates a chart with one group of horizontal bars per `group` and one bar per `series`. */
export function createBarChart(
  name: string,
  options: {
    readonly title: string;
    /** Title of the value axis. */
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
