import { createLineChart } from "../create_line_chart.ts";
import type { MeasureChart } from "../measure_chart.ts";
import { computeServiceShares } from "./compute_service_shares.ts";
import { getSystemName } from "./get_system_name.ts";
import type { ServiceChartFigure } from "./service_chart_figure.ts";
import type { ServiceRun } from "./service_run.ts";

/** Creates a chart of one figure of a service per second, for nodes and baseline. */
export function createServiceChart(
  runs: readonly ServiceRun[],
  options: {
    readonly deployment: string;
    readonly service: string;
    readonly figure: ServiceChartFigure;
  },
): MeasureChart {
  const deploymentRuns = runs.filter((run) =>
    run.deployment === options.deployment
  );
  const seconds = [
    ...new Set(
      deploymentRuns.flatMap((run) =>
        run.buckets.map((bucket) => bucket.second)
      ),
    ),
  ];
  const points = [false, true].flatMap((isBaseline) =>
    seconds.flatMap((second) => {
      const buckets = deploymentRuns
        .filter((run) => run.isBaseline === isBaseline)
        .flatMap((run) => run.buckets)
        .filter((bucket) =>
          bucket.second === second && bucket.service === options.service
        );
      return buckets.length === 0 ? [] : [{
        horizontal: second,
        vertical: options.figure.getValue(computeServiceShares(buckets)),
        series: getSystemName(isBaseline),
      }];
    })
  );
  const { deployment, service, figure } = options;
  return createLineChart(`service_${deployment}_${service}_${figure.suffix}`, {
    title: `${deployment}, ${service}: ${figure.title}`,
    horizontal: "second",
    vertical: figure.unit,
    points,
  });
}
