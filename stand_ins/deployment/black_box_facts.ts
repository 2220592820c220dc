import type { CallerReport } from "../caller/caller_report.ts";
import type { BackendServerRuns } from "./backend_server_runs.ts";

/** What callers and backend servers saw of a run, counted outside the mesh. */
export interface BlackBoxFacts {
  readonly report: CallerReport;
  readonly runs: readonly BackendServerRuns[];
  /** Answers that were not those asked for. */
  readonly wrong: number;
  /** Keys, and calls without an idempotent method, that began to run more than once. */
  readonly ranTwice: number;
  /** Calls that ran although every answer to them said that they did not. */
  readonly falseRefusals: number;
}
