import type { BackendServerRuns } from "./backend_server_runs.ts";
import { sumRuns } from "./sum_runs.ts";

/** Returns the number of calls that ran although every attempt was refused as not run or could open no connection. */
export function countFalseRefusals(
  runs: readonly BackendServerRuns[],
  neverRunTokens: readonly string[],
): number {
  const tokens = sumRuns(runs, "tokens");
  return neverRunTokens.filter((token) => tokens.has(token)).length;
}
