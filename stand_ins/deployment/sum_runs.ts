import type { BackendServerRuns } from "./backend_server_runs.ts";

/** Returns the run counts of one kind of identifier, summed over all backend servers. */
export function sumRuns(
  runs: readonly BackendServerRuns[],
  name: "keys" | "tokens" | "nonIdempotentCallIdentifiers",
): ReadonlyMap<string, number> {
  const sums = new Map<string, number>();
  runs.flatMap((server) => Object.entries(server[name])).forEach((
    [key, count],
  ) => sums.set(key, (sums.get(key) ?? 0) + count));
  return sums;
}
