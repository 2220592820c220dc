import type { NodeReport } from "./node_report.ts";
import type { ProcessUse } from "./process_use.ts";

/** The counters of every node of a fleet at one instant. */
export interface FleetReading {
  /** In milliseconds since the Unix epoch. */
  readonly at: number;
  readonly nodes: readonly {
    readonly report: NodeReport;
    readonly use: ProcessUse;
  }[];
  /** Reads that the platform has counted. */
  readonly platformReads: number;
}
