import type { BackendServerRuns } from "./backend_server_runs.ts";
import { sumRuns } from "./sum_runs.ts";

/** Returns how many calls ran although every answer to them said that they did not. */
export function countFalseRefusals(
  runs: readonly BackendServerRuns[],
  neverRunTokens: readonly string[],
): number {
  const tokens = sumRuns(runs, "tokens");
  return neverRunTokens.filter((token) => tokens.has(token)).length;
}
