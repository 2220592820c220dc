import { fitLine } from "../fit_line.ts";
import type { FleetRun } from "../fleet/fleet_run.ts";
import { getControlBytesPerSecond } from "../fleet/get_control_bytes_per_second.ts";
import { formatNumber } from "../format_number.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const secondsPerDay = 86_400;
const bytesPerMegabyte = 1_000_000;
const minimumSizeCount = 2;

interface FleetQuantity {
  readonly quantity: string;
  readonly getValue: (run: FleetRun) => number;
  /** Factor that converts the value to `unit`. */
  readonly scale: number;
  readonly unit: string;
  readonly limit: string;
}

const quantities: readonly FleetQuantity[] = [
  {
    quantity: "control bytes of a node at rest",
    getValue: ({ atRest }) => getControlBytesPerSecond(atRest),
    scale: 1,
    unit: "bytes a second",
    limit: "8,000",
  },
  {
    quantity: "control bytes of a node under call load",
    getValue: ({ underLoad }) => getControlBytesPerSecond(underLoad),
    scale: 1,
    unit: "bytes a second",
    limit: "8,000",
  },
  {
    quantity:
      `upper bound of the control bytes of a node for ${twoYearLoad.changesPerDay} changes a day`,
    getValue: (run) => run.bytesPerChange,
    scale: twoYearLoad.changesPerDay / secondsPerDay,
    unit: "bytes a second",
    limit: "8,000 with those under load",
  },
  {
    quantity: "control messages that a node sends at rest",
    getValue: ({ atRest }) => atRest.messagesSentPerSecond,
    scale: 1,
    unit: "a second",
    limit: "",
  },
  {
    quantity: "processor time of a node at rest",
    getValue: ({ atRest }) => atRest.processorShare,
    scale: 100,
    unit: "% of a core",
    limit: "3.3",
  },
  {
    quantity: "resident memory of a node",
    getValue: ({ atRest }) => atRest.residentBytes,
    scale: 1 / bytesPerMegabyte,
    unit: "MB",
    limit: "256",
  },
  {
    quantity: "in force everywhere, worst node",
    getValue: (run) => summarizeSamples(run.convergence).maximum,
    scale: 1,
    unit: "ms",
    limit: "11,000",
  },
  {
    quantity: "reads of the platform at rest, whole fleet",
    getValue: ({ atRest }) => atRest.platformReadsPerSecond,
    scale: 1,
    unit: "a second",
    limit: "2,000",
  },
  {
    quantity:
      "reads of the platform in the highest second when three quarters of the nodes restart at once",
    getValue: ({ storm }) => storm.peakReadsPerSecond,
    scale: 1,
    unit: "a second",
    limit: "2,000",
  },
];

/** Extrapolates the lines fitted to the measured fleets to the two-year size. */
export function computeFleetRows(
  runs: readonly FleetRun[] | undefined,
): readonly CapacityRow[] {
  const nodeRuns = (runs ?? []).filter((run) => !run.isBaseline);
  const sizes = [...new Set(nodeRuns.map((run) => run.nodes))];
  return quantities.map((entry) => ({
    quantity: entry.quantity,
    limit: entry.limit,
    ...(sizes.length < minimumSizeCount
      ? { derivation: "needs fleets of two sizes", figure: "not measured" }
      : extrapolate(nodeRuns, entry)),
  }));
}

function extrapolate(
  runs: readonly FleetRun[],
  { getValue, scale, unit }: FleetQuantity,
): Pick<CapacityRow, "derivation" | "figure"> {
  const line = fitLine(
    runs.map((run) => ({ size: run.nodes, value: getValue(run) * scale })),
  );
  const largest = Math.max(...runs.map((run) => run.nodes));
  const atLargest = runs
    .filter((run) => run.nodes === largest)
    .map((run) => getValue(run) * scale);
  const figure = line.base + line.perUnit * twoYearLoad.nodes;
  return {
    derivation: `[fleet](measurements/fleet.md): line ${
      formatNumber(line.base)
    } + ${formatNumber(line.perUnit)} × nodes, points up to ${
      formatNumber(line.largestDeviation * 100)
    } % off it; ${
      formatNumber(Math.max(...atLargest))
    } measured at ${largest} nodes`,
    figure: `${formatNumber(figure)} ${unit}`,
  };
}
