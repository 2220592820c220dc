import type { ServiceChartFigure } from "./service_chart_figure.ts";

/** The figures that are charted for each service. */
export const serviceChartFigures: readonly ServiceChartFigure[] = [
  {
    suffix: "whole",
    title: "whole answers",
    unit: "percent of the callers that stayed, all repeats",
    getValue: (share) => share.whole * 100,
  },
  {
    suffix: "latency",
    title: "time to a whole answer",
    unit: "milliseconds, worst 99th percentile of the repeats",
    getValue: (share) => share.worstPercentile99Milliseconds,
  },
];
