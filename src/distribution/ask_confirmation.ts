import { choosePeers } from "../peers/choose_peers.ts";
import { CallPurpose } from "./call_purpose.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import type { Transition } from "./transition.ts";

/**
 * Asks peers, in the own zone and elsewhere, for the highest version that they
 * hold. The platform is read too where no peer is known or none has answered.
 */
export function askConfirmation(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const peers = choosePeers(state.peers, {
    ownZone: distributionLimits.confirmationOwnZone,
    otherZones: distributionLimits.confirmationOtherZones,
    now,
    random,
  });
  const { confirmation } = state;
  const readsPlatform = peers.length === 0 || confirmation !== undefined;
  const asked: DistributionState = {
    ...state,
    confirmation: {
      askedAt: confirmation?.askedAt ?? now,
      pending: peers.length,
      answered: false,
      platformFailed: false,
      answeredByUnsure: false,
      floor: undefined,
      deadline: now + distributionLimits.controlCallMilliseconds +
        distributionLimits.confirmationRetryMilliseconds * random.next(),
    },
  };
  return chainSteps(asked, [
    (current) =>
      exchangeWithPeers(current, peers, {
        purpose: CallPurpose.Confirmation,
        now,
      }),
    (current) => ({
      state: current,
      effects: readsPlatform ? [createPlatformQuestion(now)] : [],
    }),
  ]);
}

/** A read beside the watch that may be open: what answers that one may be older than the pause. */
function createPlatformQuestion(now: number): DistributionEffect {
  return {
    kind: DistributionEffectKind.ReadPlatform,
    deadline: now + distributionLimits.controlCallMilliseconds,
    forConfirmation: true,
  };
}
