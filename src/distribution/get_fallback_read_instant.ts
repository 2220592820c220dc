import type { RandomSource } from "../runtime/random_source.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getFallbackWindow } from "./get_fallback_window.ts";

/**
 * Returns when a node that is not a reader reads the platform, unless the
 * platform responds to some node before. `heardAt` is the last instant at which
 * it did. The reads of all nodes are spread over a window that grows with the
 * fleet, so that together they stay within their share of the reads of the
 * platform.
 */
export function getFallbackReadInstant(
  state: DistributionState,
  options: { readonly heardAt: number; readonly random: RandomSource },
): number {
  const window = getFallbackWindow(state);
  return options.heardAt + distributionLimits.platformSilenceMilliseconds +
    options.random.next() * window;
}
