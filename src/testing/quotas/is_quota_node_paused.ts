import type { HandoverTimes } from "../../quotas/handover_times.ts";
import type { QuotaFleet, QuotaFleetNode } from "./quota_fleet.ts";

/** Whether a node grants nothing: its view is outdated, or its process stops. */
export function isQuotaNodePaused(
  { now }: QuotaFleet,
  { confirmedAt, stopsAt }: QuotaFleetNode,
  { times }: { readonly times: HandoverTimes },
): boolean {
  return Number.isFinite(stopsAt) ||
    now - confirmedAt > times.outdatedMilliseconds;
}
