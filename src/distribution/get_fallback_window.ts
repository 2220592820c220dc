import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

const millisecondsPerSecond = 1000;
const minWindowMilliseconds = 1000;

/**
 * Returns the span, in milliseconds, over which nodes that are no readers
 * spread their reads of the platform, so that together they stay within their
 * share of its reads.
 */
export function getFallbackWindow({ peers }: DistributionState): number {
  const fleetSize = peers.known.size + 1;
  return Math.max(
    minWindowMilliseconds,
    fleetSize / distributionLimits.platformReadsPerSecond *
      millisecondsPerSecond,
  );
}
