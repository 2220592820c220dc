import type { ControlUsage } from "./control_usage.ts";
import type { RestartStormUsage } from "./restart_storm_usage.ts";

/** What one fleet did. */
export interface FleetRun {
  readonly label: string;
  readonly nodes: number;
  readonly repeat: number;
  readonly isBaseline: boolean;
  readonly atRest: ControlUsage;
  /** Its processor time is that of the calls too. */
  readonly underLoad: ControlUsage;
  /** Time from the platform's acceptance to in force, of each node and each publication, in milliseconds. */
  readonly convergence: readonly number[];
  /** Bytes of the published document. */
  readonly documentBytes: number;
  /** Bytes that one change of one service costs a node beyond the traffic at rest. */
  readonly bytesPerChange: number;
  readonly storm: RestartStormUsage;
}
