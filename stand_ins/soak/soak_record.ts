import type { SoakCall } from "./soak_call.ts";
import type { SoakDisturbance } from "./soak_disturbance.ts";
import type { SoakLimit } from "./soak_limit.ts";
import type { SoakRun } from "./soak_run.ts";

/** Everything that callers and backend servers observed during a soak. */
export interface SoakRecord {
  /** By identifier. */
  readonly calls: Map<string, SoakCall>;
  readonly runs: SoakRun[];
  /** Rate limits that backend servers stated. */
  readonly limits: SoakLimit[];
  /** When each key was withdrawn, in milliseconds since the Unix epoch. */
  readonly withdrawnAt: Map<string, number>;
  /** Faults that excuse a VM from what it had learnt. */
  readonly disturbances: SoakDisturbance[];
  /** The instant from which every change must be in force on every node, in milliseconds since the Unix epoch. */
  settledAt: number;
}
