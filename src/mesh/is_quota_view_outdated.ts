import { getHandoverTimes } from "../quotas/get_handover_times.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Whether the view of a node is too old to grant tokens by it. */
export function isQuotaViewOutdated(
  { quotas, settings }: Pick<MeshNode, "quotas" | "settings">,
): boolean {
  const { outdatedMilliseconds } = getHandoverTimes(settings.sourceBounds);
  return quotas.leaseClock.now() - quotas.confirmedAt > outdatedMilliseconds;
}
