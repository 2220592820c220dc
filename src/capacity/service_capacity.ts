import type { GateReport } from "./gate_report.ts";

/**
 * What all calls of a node learned of the room at a service. Mutable; bounded by
 * the number of the service's backend servers.
 */
export interface ServiceCapacity {
  /** Refusals by full gates, by identifier of the backend server. */
  readonly fullGates: Map<string, GateReport>;
  /**
   * Until when the room that this node may expect is promised to callers, in
   * milliseconds since the Unix epoch.
   */
  promisedUntil: number;
}
