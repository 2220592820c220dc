import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.ts";

/** Creates a clock that starts at the time of day and never jumps, whatever is done to the time of day. */
export function createSteadyClock(): Clock {
  const startedAt = Date.now() - performance.now();
  return { now: () => startedAt + performance.now() };
}
