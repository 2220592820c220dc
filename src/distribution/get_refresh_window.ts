import { distributionLimits } from "./distribution_limits.ts";

/**
 * Returns the window, in milliseconds, over which the nodes of a fleet spread
 * deferred changes of their records. In a small fleet, the free slots in a
 * record help to choose a backend server. In a large one, they are too stale
 * for that and arrive with the answers to calls instead, so the records are
 * sent less often.
 */
export function getRefreshWindow(nodes: number): number {
  const perNode = nodes > distributionLimits.largeFleetNodes
    ? distributionLimits.largeFleetRefreshWindowMillisecondsPerNode
    : distributionLimits.refreshWindowMillisecondsPerNode;
  return perNode * nodes;
}
