import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the time in milliseconds for which the source has responded without a
 * failure; -1 while it does not.
 */
export function getSourceAvailableMilliseconds(node: MeshNode): number {
  const availableSince = node.view.sourceAvailableSince;
  return Number.isFinite(availableSince)
    ? Math.round(node.clock.now() - availableSince)
    : -1;
}
