import type { CallObservation } from "./call_observation.ts";
import type { LatencySummary } from "./latency_summary.ts";

/** The metrics of one node. */
export interface NodeMetrics {
  /** Counts one ended call and its time. */
  observe(observation: CallObservation): void;
  /** Returns Prometheus' text format. */
  render(): Promise<string>;
  /** Returns the latency of answered calls since the start, by service. */
  getLatencies(): readonly LatencySummary[];
}
