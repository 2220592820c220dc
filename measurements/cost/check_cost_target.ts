import { formatSpread } from "../format_spread.ts";
import type { TargetCheck } from "../target_check.ts";
import { TargetVerdict } from "../target_verdict.ts";
import { CallPath } from "./call_path.ts";
import { callPathTitles } from "./call_path_titles.ts";
import type { CostFigures } from "./cost_figures.ts";

const targetMilliseconds = 0.75;

/**
 * Compares the 99th percentile of the time added on one path with the target. The
 * target is met if no block exceeds it. It is missed if a block does and either
 * the median of every block exceeds it too or a plain node, which only forwards
 * calls, stays within it. Otherwise the machine is too noisy and the check is
 * undecided.
 */
export function checkCostTarget(
  path: CallPath,
  figures: readonly CostFigures[],
): TargetCheck {
  const getValues = (
    selectedPath: CallPath,
    getValue: (entry: CostFigures) => number,
  ) => figures.filter((entry) => entry.path === selectedPath).map(getValue);
  const added = getValues(path, (entry) => entry.addedPercentile99);
  const plain = getValues(CallPath.Plain, (entry) => entry.addedPercentile99);
  const lowestMedian = Math.min(
    ...getValues(path, (entry) => entry.addedMedian),
  );
  return {
    target: `0.75 ms added for 99 calls in 100, ${callPathTitles[path]}`,
    measured: `${formatSpread(added)} ms; a plain node adds ${
      formatSpread(plain)
    } ms on this machine`,
    verdict: getVerdict({
      added: Math.max(...added),
      plain: Math.max(...plain),
      lowestMedian,
    }),
  };
}

function getVerdict(
  milliseconds: {
    readonly added: number;
    readonly plain: number;
    readonly lowestMedian: number;
  },
): TargetVerdict {
  if (milliseconds.added <= targetMilliseconds) {
    return TargetVerdict.Met;
  }
  const isDecided = milliseconds.lowestMedian > targetMilliseconds ||
    milliseconds.plain <= targetMilliseconds;
  return isDecided ? TargetVerdict.Missed : TargetVerdict.Undecided;
}
