import type { CallObservation } from "./call_observation.ts";
import type { LatencySummary } from "./latency_summary.ts";

/** The metrics of one node. */
export interface NodeMetrics {
  /** Counts one ended call and records its latency if it was answered. */
  observe(observation: CallObservation): void;
  /** Returns the metrics in the text format of Prometheus. */
  render(): Promise<string>;
  /** Returns the latency of answered calls since the start of the process, by service. */
  getLatencies(): readonly LatencySummary[];
}
