import { performance } from "node:perf_hooks";
import type { LoopCounts } from "./loop_counts.ts";

/** Reads the totals of the event loop of this process. */
export function readLoopCounts(): LoopCounts {
  const { loopCount, events } = performance.nodeTiming.uvMetricsInfo;
  return { turns: loopCount, events };
}
