import { createLineChart } from "../create_line_chart.ts";
import { fitSlope } from "../fit_slope.ts";
import { formatNumber } from "../format_number.ts";
import { formatSpread } from "../format_spread.ts";
import type { MeasureContext } from "../measure_context.ts";
import type { MeasureResult } from "../measure_result.ts";
import type { Measure } from "../measure.ts";
import { runInTurn } from "../run_in_turn.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import { TargetVerdict } from "../target_verdict.ts";
import type { FleetRun } from "./fleet_run.ts";
import { runFleet } from "./run_fleet.ts";

const sizes: readonly number[] = [12, 24, 48, 96];
const quickSizes: readonly number[] = [12];
const repeats = 3;
const quickRepeats = 1;
const bytesPerMegabyte = 1_000_000;
const targetNodes = 1200;
const targetBytesPerSecond = 8000;
const targetProcessorShare = 0.033;
const targetMegabytes = 256;
const targetConvergenceMilliseconds = 11_000;

type Figure = (run: FleetRun) => number;

const figures: readonly {
  readonly title: string;
  readonly read: Figure;
}[] = [
  {
    title: "control bytes a second, sent and received, mean node",
    read: ({ atRest }) =>
      atRest.bytesSentPerSecond + atRest.bytesReceivedPerSecond,
  },
  {
    title: "control bytes a second, highest node",
    read: ({ atRest }) => atRest.highestBytesPerSecond,
  },
  {
    title: "control messages a second, sent, mean node",
    read: ({ atRest }) => atRest.messagesSentPerSecond,
  },
  {
    title: "processor time, percent of a core, mean node",
    read: ({ atRest }) => atRest.processorShare * 100,
  },
  {
    title: "processor time, percent of a core, highest node",
    read: ({ atRest }) => atRest.highestProcessorShare * 100,
  },
  {
    title: "resident memory, MB, mean node",
    read: ({ atRest }) => atRest.residentBytes / bytesPerMegabyte,
  },
  {
    title: "resident memory, MB, highest node",
    read: ({ atRest }) => atRest.highestResidentBytes / bytesPerMegabyte,
  },
  {
    title: "reads of the platform a second, whole fleet at rest",
    read: ({ atRest }) => atRest.platformReadsPerSecond,
  },
  {
    title: "reads of the platform in the highest second, whole fleet",
    read: (run) => run.peakPlatformReadsPerSecond,
  },
  {
    title: "bytes for one change, sent and received, mean node",
    read: (run) => run.bytesPerChange,
  },
  {
    title: "convergence, ms, median node",
    read: (run) => summarizeSamples(run.convergence).median,
  },
  {
    title: "convergence, ms, worst node",
    read: (run) => summarizeSamples(run.convergence).maximum,
  },
];

/** What a node uses at rest and how fast a change arrives, over growing fleets. */
export const fleetMeasure: Measure = {
  name: "fleet",
  title: "Fleets of growing size at rest",
  question:
    "How do a node's control traffic, processor time and memory at rest, the reads of the platform, and the time to convergence grow with the number of nodes?",
  baseline:
    "Every node watches the platform itself and nodes do not speak with each other: run as processes of the same number, on the same stand-ins, in turn with the fleets of nodes.",
  spread:
    "Median of the repeats and in brackets the lowest and the highest. Each fleet has its own processes on loopback.",
  run,
};

async function run(context: MeasureContext): Promise<MeasureResult> {
  const fleetSizes = context.quick ? quickSizes : sizes;
  const count = context.quick ? quickRepeats : repeats;
  const plans = Array.from(
    { length: count },
    (_, repeat) =>
      fleetSizes.flatMap((nodes) => [
        { nodes, repeat, isBaseline: false },
        { nodes, repeat, isBaseline: true },
      ]),
  ).flat();
  const runs = await runInTurn(plans, (plan) => {
    context.progress(
      `${plan.nodes} ${plan.isBaseline ? "baseline nodes" : "nodes"}, repeat ${
        plan.repeat + 1
      } of ${count}`,
    );
    return runFleet({
      ...plan,
      settleMilliseconds: context.quick ? 1000 : 4000,
      restMilliseconds: context.quick ? 3000 : 10_000,
      changes: context.quick ? 2 : 5,
    });
  });
  return createResult(runs, fleetSizes);
}

function createResult(
  runs: readonly FleetRun[],
  fleetSizes: readonly number[],
): MeasureResult {
  const select = (nodes: number, isBaseline: boolean, read: Figure) =>
    runs
      .filter((entry) =>
        entry.nodes === nodes && entry.isBaseline === isBaseline
      )
      .map(read);
  const slopes = figures.map(({ title, read }) => ({
    title,
    ...fitSlope(
      runs.filter((entry) => !entry.isBaseline).map((entry) => ({
        size: entry.nodes,
        value: read(entry),
      })),
    ),
  }));
  const createRows = (isBaseline: boolean) =>
    figures.map(({ title, read }, index) => [
      title,
      ...fleetSizes.map((nodes) =>
        formatSpread(select(nodes, isBaseline, read))
      ),
      ...(isBaseline ? [] : [
        formatNumber(slopes[index]?.base ?? 0),
        formatNumber(slopes[index]?.perUnit ?? 0),
        `${formatNumber((slopes[index]?.largestDeviation ?? 0) * 100)} %`,
      ]),
    ]);
  const columns = [
    "figure",
    ...fleetSizes.map((nodes) => `${nodes} nodes`),
  ];
  const largest = fleetSizes.at(-1) ?? 0;
  const highest = (read: Figure) => Math.max(...select(largest, false, read));
  return {
    tables: [
      {
        title: "Nodes",
        columns: [
          ...columns,
          "line at 0",
          "line, for each node",
          "largest deviation",
        ],
        rows: createRows(false),
      },
      {
        title: "Baseline: every node watches the platform itself",
        columns,
        rows: createRows(true),
      },
    ],
    charts: [
      createChart(runs, {
        name: "fleet_bytes",
        title: "Control bytes a second of the mean node at rest",
        read: figures[0]?.read ?? (() => 0),
      }),
      createChart(runs, {
        name: "fleet_reads",
        title: "Reads of the platform in the highest second",
        read: (entry) => entry.peakPlatformReadsPerSecond,
      }),
      createChart(runs, {
        name: "fleet_convergence",
        title: "Convergence of the worst node, milliseconds",
        read: (entry) => summarizeSamples(entry.convergence).maximum,
      }),
    ],
    targets: [
      createCheck("8 KB a second of control traffic for a node", {
        measured: highest(({ atRest }) => atRest.highestBytesPerSecond),
        limit: targetBytesPerSecond,
        unit: "bytes a second",
        nodes: largest,
      }),
      createCheck("3.3% of a core for control", {
        measured: highest(({ atRest }) => atRest.highestProcessorShare) * 100,
        limit: targetProcessorShare * 100,
        unit: "% of a core",
        nodes: largest,
      }),
      createCheck("256 MB for control", {
        measured: highest(({ atRest }) => atRest.highestResidentBytes) /
          bytesPerMegabyte,
        limit: targetMegabytes,
        unit: "MB resident",
        nodes: largest,
      }),
      createCheck("in force everywhere within 11 s", {
        measured: highest((entry) =>
          summarizeSamples(entry.convergence).maximum
        ),
        limit: targetConvergenceMilliseconds,
        unit: "ms",
        nodes: largest,
      }),
    ],
    notes: [
      "All processes share one machine; the time to convergence and the processor time include waiting for processors.",
      "Reading the status of the nodes is a part of their processor time.",
      "The baseline node has no admission, no ledger and no peers, so its memory and processor time are a lower bound for a node that watches the platform.",
    ],
    data: { runs, slopes },
  };
}

function createChart(
  runs: readonly FleetRun[],
  options: {
    readonly name: string;
    readonly title: string;
    readonly read: Figure;
  },
) {
  return createLineChart(options.name, {
    title: options.title,
    horizontal: "nodes",
    vertical: options.title,
    points: runs.map((entry) => ({
      horizontal: entry.nodes,
      vertical: options.read(entry),
      series: `${entry.isBaseline ? "baseline" : "nodes"}, repeat ${
        entry.repeat + 1
      }`,
    })),
  });
}

function createCheck(
  target: string,
  figure: {
    readonly measured: number;
    readonly limit: number;
    readonly unit: string;
    readonly nodes: number;
  },
) {
  return {
    target: `${target} (stated for ${targetNodes} nodes)`,
    measured: `${
      formatNumber(figure.measured)
    } ${figure.unit} at ${figure.nodes} nodes, highest of all repeats`,
    verdict: figure.measured <= figure.limit
      ? TargetVerdict.Met
      : TargetVerdict.Missed,
  };
}
