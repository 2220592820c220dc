import type { CallEvent } from "./call_event.ts";
import type { ChoiceObservation } from "./choice_observation.ts";
import type { MeshGauges } from "./mesh_gauges.ts";
import type { QuotaCount } from "./quota_count.ts";

/** Counters and latency histograms of a node. */
export interface MeshMetrics {
  /** Records an event of a call in the counters and histograms. */
  observe(event: CallEvent): void;
  /** Records the choice of a backend server for an offer. */
  observeChoice(choice: ChoiceObservation): void;
  /** Returns the metrics in the Prometheus text format. */
  render(
    gauges: MeshGauges,
    quotaCounts?: readonly QuotaCount[],
  ): Promise<string>;
}
