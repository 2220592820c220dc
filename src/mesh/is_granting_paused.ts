import { getHandoverTimes } from "../quotas/get_handover_times.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Whether a node grants no tokens: its view is too old, or it is about to end.
 * Its deputy may then grant in its place.
 */
export function isGrantingPaused(
  { quotas, settings, stopping }: Pick<
    MeshNode,
    "quotas" | "settings" | "stopping"
  >,
): boolean {
  const { outdatedMilliseconds } = getHandoverTimes(settings.sourceBounds);
  return stopping ||
    quotas.leaseClock.now() - quotas.confirmedAt > outdatedMilliseconds;
}
