import type { BackendServerRuns } from "./backend_server_runs.ts";
import { sumRuns } from "./sum_runs.ts";

/** Returns how many keys, and call identifiers without an idempotent method, began to run more than once. */
export function countRanTwice(runs: readonly BackendServerRuns[]): number {
  const isRepeated = (count: number) => count > 1;
  const keys = [...sumRuns(runs, "keys").values()].filter(isRepeated);
  const calls = [...sumRuns(runs, "nonIdempotentCallIdentifiers").values()]
    .filter(isRepeated);
  return Math.max(keys.length, calls.length);
}
