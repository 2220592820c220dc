import { performance } from "node:perf_hooks";
import type { TimedResult } from "./timed_result.ts";

/** Runs `work` once and returns its result and the time for which it blocked the event loop. */
export function measureElapsed<T>(work: () => T): TimedResult<T> {
  const startedAt = performance.now();
  const value = work();
  return { value, milliseconds: performance.now() - startedAt };
}
