import type { DistributionContext } from "./distribution_context.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/** Starts to read the VM list of the platform. */
export function listVms(
  state: DistributionState,
  { now }: DistributionContext,
): Transition {
  return {
    state: {
      ...state,
      platform: { ...state.platform, isListing: true, nextListAt: Infinity },
    },
    effects: [{
      kind: DistributionEffectKind.ListVms,
      deadline: now + distributionLimits.platformReadTimeoutMilliseconds,
    }],
  };
}
