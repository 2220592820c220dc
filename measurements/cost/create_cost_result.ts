import { formatSpread } from "../format_spread.ts";
import type { MeasureResult } from "../measure_result.ts";
import { CallPath } from "./call_path.ts";
import { callPathTitles } from "./call_path_titles.ts";
import { checkCostTarget } from "./check_cost_target.ts";
import type { CostFigures } from "./cost_figures.ts";
import type { ProcessorCost } from "./processor_cost.ts";

/** Creates the result from the blocks of interleaved calls and the runs for processor time. */
export function createCostResult(
  figures: readonly CostFigures[],
  processorCosts: readonly ProcessorCost[],
): MeasureResult {
  const getValues = (
    path: CallPath,
    getValue: (entry: CostFigures) => number,
  ) => figures.filter((entry) => entry.path === path).map(getValue);
  const getProcessorCosts = (path: CallPath, abandoned: boolean) =>
    processorCosts.filter((entry) =>
      entry.path === path && entry.abandoned === abandoned
    );
  const meshPaths = [CallPath.OneHop, CallPath.TwoHops];
  return {
    tables: [
      {
        title: "Milliseconds of a call",
        columns: [
          "path",
          "median",
          "99th percentile",
          "added, median",
          "added, 99th percentile",
          "ratio, median",
          "ratio, 99th percentile",
        ],
        rows: Object.values(CallPath).map((path) => [
          callPathTitles[path],
          formatSpread(getValues(path, (entry) => entry.median)),
          formatSpread(getValues(path, (entry) => entry.percentile99)),
          formatSpread(getValues(path, (entry) => entry.addedMedian)),
          formatSpread(getValues(path, (entry) => entry.addedPercentile99)),
          formatSpread(getValues(path, (entry) => entry.ratioMedian)),
          formatSpread(getValues(path, (entry) => entry.ratioPercentile99)),
        ]),
      },
      {
        title: "Processor time of the nodes for one call",
        columns: [
          "path",
          "answered: milliseconds, all nodes on the way",
          "answered: calls a second meanwhile",
          "abandoned: milliseconds, all nodes on the way",
        ],
        rows: Object.values(CallPath)
          .filter((path) => getProcessorCosts(path, false).length > 0)
          .map((path) => [
            callPathTitles[path],
            formatSpread(
              getProcessorCosts(path, false).map((entry) => entry.milliseconds),
            ),
            formatSpread(
              getProcessorCosts(path, false).map((entry) =>
                entry.requestsPerSecond
              ),
            ),
            formatSpread(
              getProcessorCosts(path, true).map((entry) => entry.milliseconds),
            ),
          ]),
      },
    ],
    charts: [],
    targets: meshPaths.map((path) => checkCostTarget(path, figures)),
    notes: [
      "The caller, the nodes and the backend server share one machine and loopback; the network between VMs is not in the figures.",
      "A difference of two 99th percentiles is not the 99th percentile of the added time; it is given beside the ratio since the machine's own disturbances meet both paths.",
      "Calls are idempotent and carry no key.",
      "An abandoned call works for 20 ms at the backend server and its caller closes the connection after 5 ms; the caller's next call needs a new connection.",
    ],
    data: { figures, processorCosts },
  };
}
