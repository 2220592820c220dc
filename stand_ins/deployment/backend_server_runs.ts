import type { RunCounts } from "../backend_server/run_counts.ts";

/** The response of a backend server stand-in to `GET /stand-in/runs`. */
export interface BackendServerRuns extends RunCounts {
  readonly name: string;
  readonly state: string;
  /** How many calls it can run at once now: fewer than its slots while cold. */
  readonly bearableSlots: number;
  readonly running: number;
  readonly peakRunning: number;
  /** Calls that arrived while all usable slots were occupied. */
  readonly overloadEvents: number;
  /** How often it collapsed under full load while cold. */
  readonly falls: number;
  readonly shed: number;
}
