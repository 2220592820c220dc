import type { CallerReport } from "../caller/caller_report.ts";
import type { BackendServerRuns } from "./backend_server_runs.ts";

/** What callers and backend servers observed during a run, counted outside the mesh. */
export interface BlackBoxObservations {
  readonly report: CallerReport;
  readonly runs: readonly BackendServerRuns[];
  /** Responses that were neither the expected answer nor a well-formed refusal. */
  readonly wrong: number;
  /** Idempotency keys, or calls whose method is not idempotent, that started to run more than once; the larger of both counts. */
  readonly ranTwice: number;
  /** Calls that ran although every attempt was refused as not run or could open no connection. */
  readonly falseRefusals: number;
}
