import type { GateView } from "./gate_view.ts";
import { getReportWeight } from "./get_report_weight.ts";

/**
 * Estimates how many calls run at a backend server or wait for a slot, from the
 * load that it reported last and the calls that this node has sent since. The
 * older the report, the more the estimate tends to the mean of the service.
 */
export function estimateBusySlots(
  view: GateView,
  { slots, now }: { readonly slots: number; readonly now: number },
): number {
  const mean = view.serviceLoad.busyShare * slots;
  if (view.load === undefined) return Math.max(view.inFlight, mean);
  const weight = getReportWeight(view, now);
  const sentSince = view.inFlight - view.inFlightAtLoad;
  const reported = view.load.running + view.load.queued + sentSince;
  return Math.max(view.inFlight, mean + (reported - mean) * weight);
}
