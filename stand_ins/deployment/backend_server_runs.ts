import type { RunCounts } from "../backend_server/run_counts.ts";

/** What a backend server stand-in answers to `GET /stand-in/runs`. */
export interface BackendServerRuns extends RunCounts {
  readonly name: string;
  readonly state: string;
  readonly bearableSlots: number;
  readonly running: number;
  readonly peakRunning: number;
  readonly overloadEvents: number;
  readonly falls: number;
  readonly shed: number;
}
