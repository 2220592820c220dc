import type { BackendServerRuns } from "../../stand_ins/deployment/backend_server_runs.ts";

/** Counts the idempotency keys that ran, and those that ran more than once, over all backend servers. */
export function countKeyRuns(
  runs: readonly Pick<BackendServerRuns, "keys">[],
): { readonly keysRun: number; readonly keysRunTwice: number } {
  const totals = new Map<string, number>();
  runs
    .flatMap(({ keys }) => Object.entries(keys))
    .forEach(([key, count]) => totals.set(key, (totals.get(key) ?? 0) + count));
  return {
    keysRun: totals.size,
    keysRunTwice: [...totals.values()].filter((count) => count > 1).length,
  };
}
