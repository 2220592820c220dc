import { distributionLimits } from "./distribution_limits.ts";

/**
 * Returns over how many milliseconds the nodes of a fleet spread changes of
 * their records that can wait. In a small fleet the free slots in a record help
 * to choose a backend server; in a large one they are too old for that anyway
 * and come with the answers to calls, so the records may cost less there.
 */
export function getRefreshSpan(nodes: number): number {
  const perNode = nodes > distributionLimits.largeFleetNodes
    ? distributionLimits.refreshMillisecondsPerPeerOfLargeFleet
    : distributionLimits.refreshMillisecondsPerPeer;
  return perNode * nodes;
}
