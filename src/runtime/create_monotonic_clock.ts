import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.ts";

/** Creates a monotonic clock that starts at the system time and ignores later changes of it. */
export function createMonotonicClock(): Clock {
  const startedAt = Date.now() - performance.now();
  return { now: () => startedAt + performance.now() };
}
