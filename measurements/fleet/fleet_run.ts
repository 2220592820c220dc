import type { ControlUsage } from "./control_usage.ts";
import type { RestartStormUsage } from "./restart_storm_usage.ts";

/** The results of one run of a fleet. */
export interface FleetRun {
  readonly label: string;
  readonly nodes: number;
  readonly repeat: number;
  readonly isBaseline: boolean;
  readonly atRest: ControlUsage;
  /** Its processor time includes the time spent on calls. */
  readonly underLoad: ControlUsage;
  /** Times from the platform's acceptance of a version until it was in force, for each publication and node, in milliseconds. */
  readonly convergence: readonly number[];
  /** Bytes of the published document. */
  readonly documentBytes: number;
  /** Bytes that a node sends and receives for a change of one service, beyond the traffic at rest. */
  readonly bytesPerChange: number;
  readonly storm: RestartStormUsage;
}
