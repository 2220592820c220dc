import { summarizeSamples } from "../summarize_samples.ts";
import { CallPath } from "./call_path.ts";
import type { CostBlock } from "./cost_block.ts";
import type { CostFigures } from "./cost_figures.ts";

/** Computes the latencies of every path of a block, relative to the direct calls of the same block. */
export function computeCostFigures(block: CostBlock): readonly CostFigures[] {
  const direct = summarizeSamples(block[CallPath.Direct]);
  return Object.values(CallPath).map((path) => {
    const { median, percentile99 } = summarizeSamples(block[path]);
    return {
      path,
      median,
      percentile99,
      addedMedian: median - direct.median,
      addedPercentile99: percentile99 - direct.percentile99,
      ratioMedian: median / direct.median,
      ratioPercentile99: percentile99 / direct.percentile99,
    };
  });
}
