import type { BackendServerRuns } from "./backend_server_runs.ts";
import { sumRuns } from "./sum_runs.ts";

/**
 * Returns how many idempotency keys, or calls whose method is not idempotent,
 * started to run more than once; the larger of both counts, since one call can
 * be in both.
 */
export function countRanTwice(runs: readonly BackendServerRuns[]): number {
  const isRepeated = (count: number) => count > 1;
  const keys = [...sumRuns(runs, "keys").values()].filter(isRepeated);
  const calls = [...sumRuns(runs, "nonIdempotentCallIdentifiers").values()]
    .filter(isRepeated);
  return Math.max(keys.length, calls.length);
}
