import type { CallEvent } from "./call_event.ts";
import type { MeshGauges } from "./mesh_gauges.ts";

/** Counters and latency histograms of a node. */
export interface MeshMetrics {
  observe(event: CallEvent): void;
  /** Returns the metrics in the Prometheus text format. */
  render(gauges: MeshGauges): Promise<string>;
}
