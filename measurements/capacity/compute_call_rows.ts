import { CallPath } from "../cost/call_path.ts";
import { formatNumber } from "../format_number.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { CapacityFigures } from "./capacity_figures.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { createNotMeasuredRow } from "./create_not_measured_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_000_000;

/** Computes the processor time, latency and memory that calls and idempotency keys cost at the two-year size. */
export function computeCallRows(
  { cost, ledger }: CapacityFigures,
): readonly CapacityRow[] {
  return [
    ...(cost === undefined
      ? [createNotMeasuredRow("processor time of a node for calls", "cost")]
      : computeCostRows(cost)),
    ...(ledger === undefined
      ? [createNotMeasuredRow("memory of a ledger", "ledger")]
      : computeLedgerRows(ledger)),
  ];
}

function computeCostRows(
  cost: NonNullable<CapacityFigures["cost"]>,
): readonly CapacityRow[] {
  const callsOfNode = twoYearLoad.callsPerSecond / twoYearLoad.nodes;
  const getProcessorMilliseconds = (abandoned: boolean) =>
    summarizeSamples(
      cost.processorCosts
        .filter((entry) =>
          entry.path === CallPath.TwoHops && entry.abandoned === abandoned
        )
        .map((entry) => entry.milliseconds),
    ).median;
  const getProcessorPercent = (abandoned: boolean) =>
    100 * callsOfNode * getProcessorMilliseconds(abandoned) /
    millisecondsPerSecond;
  const getMedian = (
    getValue: (entry: (typeof cost.figures)[number]) => number,
  ) =>
    summarizeSamples(
      cost.figures
        .filter((entry) => entry.path === CallPath.TwoHops)
        .map(getValue),
    ).median;
  const addedMedian = getMedian((entry) => entry.addedMedian);
  return [
    {
      quantity: "calls that a node passes on, as first node",
      derivation:
        `${twoYearLoad.callsPerSecond} calls a second over ${twoYearLoad.nodes} nodes, evenly`,
      figure: `${formatNumber(callsOfNode)} a second`,
      limit: "",
    },
    {
      quantity: "processor time of a node for them, all answered",
      derivation:
        "[cost](measurements/cost.md): two hops, both nodes; each node is the first of one call for each that it is the second of",
      figure: `${formatNumber(getProcessorPercent(false))} % of a core`,
      limit: "none stated; 3.3 is for control",
    },
    {
      quantity: "the same, all abandoned",
      derivation: "[cost](measurements/cost.md)",
      figure: `${formatNumber(getProcessorPercent(true))} % of a core`,
      limit: "none stated",
    },
    {
      quantity: "time added to a call, 99 in 100",
      derivation:
        "[cost](measurements/cost.md): two hops, median of the blocks; see the verdict there",
      figure: `${
        formatNumber(getMedian((entry) => entry.addedPercentile99))
      } ms`,
      limit: "0.75",
    },
    {
      quantity: `time added to a call ${twoYearLoad.callDepth} deep, median`,
      derivation: "[cost](measurements/cost.md): two hops at each step",
      figure: `${formatNumber(addedMedian * twoYearLoad.callDepth)} ms`,
      limit: "",
    },
  ];
}

function computeLedgerRows(
  ledger: NonNullable<CapacityFigures["ledger"]>,
): readonly CapacityRow[] {
  const largest = Math.max(...ledger.samples.map(({ keys }) => keys));
  const bytes = ledger.samples
    .filter(({ keys }) => keys === largest)
    .map((sample) => sample.bytes);
  return [{
    quantity: `memory of a ledger with ${largest} keys`,
    derivation: "[ledger](measurements/ledger.md), the highest sample",
    figure: `${formatNumber(Math.max(...bytes) / bytesPerMegabyte)} MB`,
    limit: "256 in all",
  }];
}
