import type { BackendServerRuns } from "./backend_server_runs.ts";

/** Returns the sum over all backend servers of one of the counts by name. */
export function sumRuns(
  runs: readonly BackendServerRuns[],
  name: "keys" | "tokens" | "nonIdempotentCallIdentifiers",
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  runs.flatMap((one) => Object.entries(one[name])).forEach(([key, count]) =>
    sums.set(key, (sums.get(key) ?? 0) + count)
  );
  return sums;
}
