import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

const millisecondsPerSecond = 1000;
const minWindowMilliseconds = 1000;

/**
 * Returns the window, in milliseconds, over which nodes that are not readers
 * spread their platform reads, so that together they stay within their share of
 * the reads of the platform.
 */
export function getFallbackWindow({ peers }: DistributionState): number {
  const fleetSize = peers.known.size + 1;
  return Math.max(
    minWindowMilliseconds,
    fleetSize / distributionLimits.platformReadsPerSecond *
      millisecondsPerSecond,
  );
}
