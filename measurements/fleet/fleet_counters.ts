import type { MeasuredNodeStatus } from "./measured_node_status.ts";
import type { ProcessUsage } from "./process_usage.ts";

/** The counters of the platform and of every node of a fleet at one instant. */
export interface FleetCounters {
  /** In milliseconds since the Unix epoch. */
  readonly at: number;
  readonly nodes: readonly {
    readonly status: MeasuredNodeStatus;
    readonly usage: ProcessUsage;
  }[];
  /** Reads that the platform has counted. */
  readonly platformReads: number;
}
