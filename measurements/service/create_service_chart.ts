import { createLineChart } from "../create_line_chart.ts";
import type { MeasureChart } from "../measure_chart.ts";
import { computeServiceShare } from "./compute_service_share.ts";
import { getSystemName } from "./get_system_name.ts";
import type { ServiceRun } from "./service_run.ts";

/** Draws, second by second, the share of the staying callers of one service that got a whole answer. */
export function createServiceChart(
  runs: readonly ServiceRun[],
  options: { readonly deployment: string; readonly service: string },
): MeasureChart {
  const chosen = runs.filter((run) => run.deployment === options.deployment);
  const seconds = [
    ...new Set(
      chosen.flatMap((run) => run.buckets.map((bucket) => bucket.second)),
    ),
  ];
  const points = [false, true].flatMap((isBaseline) =>
    seconds.flatMap((second) => {
      const buckets = chosen
        .filter((run) => run.isBaseline === isBaseline)
        .flatMap((run) => run.buckets)
        .filter((bucket) =>
          bucket.second === second && bucket.service === options.service
        );
      return buckets.length === 0 ? [] : [{
        horizontal: second,
        vertical: computeServiceShare(buckets).whole * 100,
        series: getSystemName(isBaseline),
      }];
    })
  );
  return createLineChart(`service_${options.deployment}_${options.service}`, {
    title: `${options.deployment}, ${options.service}: whole answers, percent`,
    horizontal: "second",
    vertical: "percent of the callers that stayed, all repeats",
    points,
  });
}
