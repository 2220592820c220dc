import type { SoakCall } from "./soak_call.ts";
import type { SoakRun } from "./soak_run.ts";

/** Everything that callers and backend servers observed during a soak. */
export interface SoakRecord {
  /** By identifier. */
  readonly calls: Map<string, SoakCall>;
  readonly runs: SoakRun[];
  /** The instant from which every change must be in force on every node, in milliseconds since the Unix epoch. */
  settledAt: number;
}
