import { choosePeers } from "../peers/choose_peers.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import type { Transition } from "./transition.ts";

/**
 * Sends changes to a few peers, at least one of them in another zone, without
 * waiting for the next periodic exchange.
 */
export function pushChanges(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const peers = choosePeers(state.peers, {
    ownZone: distributionLimits.pushOwnZonePeers,
    otherZones: distributionLimits.pushOtherZonePeers,
    now,
    random,
  });
  return exchangeWithPeers(state, peers, {
    purpose: PeerCallPurpose.Push,
    now,
  });
}
