import { choosePeers } from "../peers/choose_peers.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import { chainSteps } from "./chain_steps.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionEffect } from "./distribution_effect.ts";
import { DistributionEffectKind } from "./distribution_effect_kind.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import type { Transition } from "./transition.ts";

/**
 * Requests the highest stored version from peers, in this node's zone and in
 * others, to confirm the view after a pause. The platform is read too if no
 * peer is known, or if an earlier request of the same confirmation has not
 * succeeded.
 */
export function requestConfirmation(
  state: DistributionState,
  { now, random }: DistributionContext,
): Transition {
  const peers = choosePeers(state.peers, {
    ownZone: distributionLimits.confirmationOwnZonePeers,
    otherZones: distributionLimits.confirmationOtherZonePeers,
    now,
    random,
  });
  const { confirmation } = state;
  const readsPlatform = peers.length === 0 || confirmation !== undefined;
  const requested: DistributionState = {
    ...state,
    confirmation: {
      requestedAt: confirmation?.requestedAt ?? now,
      pending: peers.length,
      answered: false,
      platformFailed: false,
      unconfirmedPeerResponded: false,
      minimumVersion: undefined,
      deadline: now + distributionLimits.controlCallTimeoutMilliseconds +
        distributionLimits.confirmationRetryMilliseconds * random.next(),
    },
  };
  return chainSteps(requested, [
    (current) =>
      exchangeWithPeers(current, peers, {
        purpose: PeerCallPurpose.Confirmation,
        now,
      }),
    (current) => ({
      state: current,
      effects: readsPlatform ? [createConfirmationRead(now)] : [],
    }),
  ]);
}

/**
 * Returns an effect that reads the platform beside any open watch, since the
 * response to that watch may be older than the pause.
 */
function createConfirmationRead(now: number): DistributionEffect {
  return {
    kind: DistributionEffectKind.ReadPlatform,
    deadline: now + distributionLimits.controlCallTimeoutMilliseconds,
    forConfirmation: true,
  };
}
