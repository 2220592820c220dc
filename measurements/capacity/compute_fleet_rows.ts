import { fitSlope } from "../fit_slope.ts";
import type { FleetRun } from "../fleet/fleet_run.ts";
import { getControlBytes } from "../fleet/get_control_bytes.ts";
import { formatNumber } from "../format_number.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { CapacityRow } from "./capacity_row.ts";
import { twoYearLoad } from "./two_year_load.ts";

const secondsPerDay = 86_400;
const bytesPerMegabyte = 1_000_000;
const smallestSizes = 2;

interface FleetQuantity {
  readonly quantity: string;
  readonly read: (run: FleetRun) => number;
  /** Turns the value of the line into the figure. */
  readonly scale: number;
  readonly unit: string;
  readonly limit: string;
}

const quantities: readonly FleetQuantity[] = [
  {
    quantity: "control bytes of a node at rest",
    read: ({ atRest }) => getControlBytes(atRest),
    scale: 1,
    unit: "bytes a second",
    limit: "8,000",
  },
  {
    quantity: "control bytes of a node under call load",
    read: ({ underLoad }) => getControlBytes(underLoad),
    scale: 1,
    unit: "bytes a second",
    limit: "8,000",
  },
  {
    quantity:
      `upper bound of the control bytes of a node for ${twoYearLoad.changesPerDay} changes a day`,
    read: (run) => run.bytesPerChange,
    scale: twoYearLoad.changesPerDay / secondsPerDay,
    unit: "bytes a second",
    limit: "8,000 with those under load",
  },
  {
    quantity: "control messages that a node sends at rest",
    read: ({ atRest }) => atRest.messagesSentPerSecond,
    scale: 1,
    unit: "a second",
    limit: "",
  },
  {
    quantity: "processor time of a node at rest",
    read: ({ atRest }) => atRest.processorShare,
    scale: 100,
    unit: "% of a core",
    limit: "3.3",
  },
  {
    quantity: "resident memory of a node",
    read: ({ atRest }) => atRest.residentBytes,
    scale: 1 / bytesPerMegabyte,
    unit: "MB",
    limit: "256",
  },
  {
    quantity: "in force everywhere, worst node",
    read: (run) => summarizeSamples(run.convergence).maximum,
    scale: 1,
    unit: "ms",
    limit: "11,000",
  },
  {
    quantity: "reads of the platform at rest, whole fleet",
    read: ({ atRest }) => atRest.platformReadsPerSecond,
    scale: 1,
    unit: "a second",
    limit: "2,000",
  },
  {
    quantity:
      "reads of the platform in the highest second when three quarters of the nodes restart at once",
    read: ({ storm }) => storm.peakReadsPerSecond,
    scale: 1,
    unit: "a second",
    limit: "2,000",
  },
];

/** Carries the lines through the measured fleets on to the two-year size. */
export function computeFleetRows(
  runs: readonly FleetRun[] | undefined,
): readonly CapacityRow[] {
  const nodes = (runs ?? []).filter((run) => !run.isBaseline);
  const sizes = [...new Set(nodes.map((run) => run.nodes))];
  return quantities.map((entry) => ({
    quantity: entry.quantity,
    limit: entry.limit,
    ...(sizes.length < smallestSizes
      ? { workedOut: "needs fleets of two sizes", figure: "not measured" }
      : extendLine(nodes, entry)),
  }));
}

function extendLine(
  runs: readonly FleetRun[],
  { read, scale, unit }: FleetQuantity,
): Pick<CapacityRow, "workedOut" | "figure"> {
  const slope = fitSlope(
    runs.map((run) => ({ size: run.nodes, value: read(run) * scale })),
  );
  const largest = Math.max(...runs.map((run) => run.nodes));
  const atLargest = runs
    .filter((run) => run.nodes === largest)
    .map((run) => read(run) * scale);
  const figure = slope.base + slope.perUnit * twoYearLoad.nodes;
  return {
    workedOut: `[fleet](measurements/fleet.md): line ${
      formatNumber(slope.base)
    } + ${formatNumber(slope.perUnit)} × nodes, points up to ${
      formatNumber(slope.largestDeviation * 100)
    } % off it; ${
      formatNumber(Math.max(...atLargest))
    } measured at ${largest} nodes`,
    figure: `${formatNumber(figure)} ${unit}`,
  };
}
