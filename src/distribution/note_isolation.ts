import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getFallbackWindow } from "./get_fallback_window.ts";

/**
 * Lets a node that has heard from no peer for some exchanges read the platform
 * itself, after full jitter, whatever the readers do: it cannot hear of that.
 */
export function noteIsolation(
  state: DistributionState,
  { now, random, settings }: DistributionContext,
): DistributionState {
  const { platform, exchange } = state;
  const silence = distributionLimits.isolatedExchanges *
    settings.timing.exchangeIntervalMilliseconds;
  if (platform.isReader || now - exchange.heardAt < silence) {
    return state;
  }
  const readAt = Math.max(now, platform.notBefore) +
    getFallbackWindow(state) * random.next();
  return {
    ...state,
    platform: {
      ...platform,
      nextReadAt: Math.min(platform.nextReadAt, readAt),
    },
  };
}
