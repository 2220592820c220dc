import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getFallbackWindow } from "./get_fallback_window.ts";

/**
 * Schedules a platform read, with full jitter, if the node has received nothing
 * from any peer for some exchange intervals. It does not wait for the readers,
 * since their contact with the platform cannot be reported to an isolated node.
 */
export function scheduleIsolatedRead(
  state: DistributionState,
  { now, random, settings }: DistributionContext,
): DistributionState {
  const { platform, exchange } = state;
  const isolationMilliseconds = distributionLimits.isolationMissedExchanges *
    settings.timing.exchangeIntervalMilliseconds;
  if (platform.isReader || now - exchange.heardAt < isolationMilliseconds) {
    return state;
  }
  const readAt = Math.max(now, platform.earliestReadAt) +
    getFallbackWindow(state) * random.next();
  return {
    ...state,
    platform: {
      ...platform,
      nextReadAt: Math.min(platform.nextReadAt, readAt),
    },
  };
}
