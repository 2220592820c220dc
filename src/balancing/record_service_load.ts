import type { GateLoad } from "./gate_load.ts";
import type { ServiceLoad } from "./service_load.ts";

const newestWeight = 0.05;

/** Records a reported load in the average of the service. */
export function recordServiceLoad(
  serviceLoad: ServiceLoad,
  load: GateLoad,
): void {
  const share = (load.running + load.queued) / Math.max(1, load.slots);
  serviceLoad.busyShare += (share - serviceLoad.busyShare) * newestWeight;
}
