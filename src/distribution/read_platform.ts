import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/**
 * Starts to read the value of the platform. A reader that has read a value
 * watches for the next one.
 */
export function readPlatform(
  state: DistributionState,
  { now }: DistributionContext,
): Transition {
  const { platform } = state;
  const effect: DistributionEffect =
    platform.isReader && platform.revision !== undefined
      ? {
        kind: DistributionEffectKind.WatchPlatform,
        revision: platform.revision,
        deadline: now + distributionLimits.platformWatchTimeoutMilliseconds,
      }
      : {
        kind: DistributionEffectKind.ReadPlatform,
        deadline: now + distributionLimits.platformReadTimeoutMilliseconds,
        forConfirmation: false,
      };
  return {
    state: {
      ...state,
      platform: { ...platform, isReading: true, nextReadAt: Infinity },
    },
    effects: [effect],
  };
}
