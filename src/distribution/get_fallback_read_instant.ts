import type { RandomSource } from "../runtime/random_source.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

const millisecondsPerSecond = 1000;
const minWindowMilliseconds = 2000;

/**
 * Returns when a node that is no reader reads the platform, if until then no
 * node hears from it. The instants of all nodes are spread over a window that
 * grows with the fleet, so that together they stay within their share of the
 * platform's reads.
 */
export function getFallbackReadInstant(
  state: DistributionState,
  options: { readonly heardAt: number; readonly random: RandomSource },
): number {
  const fleetSize = state.peers.known.size + 1;
  const window = Math.max(
    minWindowMilliseconds,
    fleetSize / distributionLimits.platformReadsPerSecond *
      millisecondsPerSecond,
  );
  return options.heardAt + distributionLimits.platformSilenceMilliseconds +
    options.random.next() * window;
}
