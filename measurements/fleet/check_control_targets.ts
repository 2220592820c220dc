import { formatNumber } from "../format_number.ts";
import { summarizeSamples } from "../summarize_samples.ts";
import type { TargetCheck } from "../target_check.ts";
import { TargetVerdict } from "../target_verdict.ts";
import type { FleetFigure } from "./fleet_figure.ts";
import type { FleetRun } from "./fleet_run.ts";

const bytesPerMegabyte = 1_000_000;

interface ControlTarget extends FleetFigure {
  readonly limit: number;
  readonly unit: string;
}

const targets: readonly ControlTarget[] = [
  {
    title: "8 KB a second of control traffic for a node, under call load",
    getValue: ({ underLoad }) => underLoad.highestBytesPerSecond,
    limit: 8000,
    unit: "bytes a second",
  },
  {
    title: "3.3% of a core for control, at rest",
    getValue: ({ atRest }) => atRest.highestProcessorShare * 100,
    limit: 3.3,
    unit: "% of a core",
  },
  {
    title: "256 MB for control",
    getValue: ({ atRest }) => atRest.highestResidentBytes / bytesPerMegabyte,
    limit: 256,
    unit: "MB resident",
  },
  {
    title: "in force everywhere within 11 s",
    getValue: (run) => summarizeSamples(run.convergence).maximum,
    limit: 11_000,
    unit: "ms",
  },
  {
    title: "2,000 reads of the platform a second",
    getValue: ({ storm }) => storm.peakReadsPerSecond,
    limit: 2000,
    unit: "reads in the highest second",
  },
];

/**
 * Compares the highest figures of all runs of nodes with the stated limits. The
 * measured fleets are smaller than the size for which the limits are stated.
 */
export function checkControlTargets(
  runs: readonly FleetRun[],
): readonly TargetCheck[] {
  const nodes = runs.filter((run) => !run.isBaseline);
  const largest = Math.max(...nodes.map((run) => run.nodes));
  return targets.map((target) => {
    const highest = Math.max(...nodes.map(target.getValue));
    return {
      target: `${target.title} (stated for 1,200 nodes)`,
      measured: `${
        formatNumber(highest)
      } ${target.unit} with up to ${largest} nodes, highest of all runs`,
      verdict: highest <= target.limit
        ? TargetVerdict.MetAtThisSize
        : TargetVerdict.Missed,
    };
  });
}
