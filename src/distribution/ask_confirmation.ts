import { choosePeers } from "../peers/choose_peers.ts";
import { CallPurpose } from "./call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import type { Transition } from "./transition.ts";

/**
 * Asks peers, in the own zone and elsewhere, for the highest version that they
 * hold. The platform is read too where no peer is known.
 */
export function askConfirmation(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const peers = choosePeers(state.peers, {
    ownZone: distributionLimits.questionOwnZone,
    otherZones: distributionLimits.questionOtherZones,
    now,
    random,
  });
  const { confirmation, platform } = state;
  const isRepeated = confirmation !== undefined;
  const readsPlatform = !platform.isReading &&
    (peers.length === 0 || isRepeated);
  return exchangeWithPeers(
    {
      ...state,
      platform: readsPlatform ? { ...platform, nextReadAt: now } : platform,
      confirmation: {
        askedAt: confirmation?.askedAt ?? now,
        pending: peers.length,
        answered: confirmation?.answered ?? false,
        answeredByUnsure: confirmation?.answeredByUnsure ?? false,
        floor: confirmation?.floor,
        deadline: now + distributionLimits.controlCallMilliseconds +
          distributionLimits.confirmationRetryMilliseconds * random.next(),
      },
    },
    peers,
    { purpose: CallPurpose.Confirmation, now },
  );
}
