import type { SoakCall } from "./soak_call.ts";
import type { SoakRun } from "./soak_run.ts";

/** Everything that callers and backend servers of a soak saw. */
export interface SoakRecord {
  /** By identifier. */
  readonly calls: Map<string, SoakCall>;
  readonly runs: SoakRun[];
  /** From this instant on, in milliseconds since the Unix epoch, every change must be in force at every node. */
  settledAt: number;
}
