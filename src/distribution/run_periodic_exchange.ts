import { choosePeers } from "../peers/choose_peers.ts";
import { PeerCallPurpose } from "./peer_call_purpose.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { exchangeWithPeers } from "./exchange_with_peers.ts";
import type { Transition } from "./transition.ts";

/** The share of periodic exchanges that stay in this node's zone. */
const ownZoneShare = 0.7;
const minIntervalShare = 0.75;
const intervalJitterShare = 0.5;

/**
 * Starts an exchange with one peer chosen at random, and schedules the next
 * exchange.
 */
export function runPeriodicExchange(
  state: DistributionState,
  { now, random, settings }: DistributionContext,
): Transition {
  const inOwnZone = random.next() < ownZoneShare;
  const peers = choosePeers(state.peers, {
    ownZone: inOwnZone ? 1 : 0,
    otherZones: inOwnZone ? 0 : 1,
    now,
    random,
  });
  const interval = settings.timing.exchangeIntervalMilliseconds *
    (minIntervalShare + random.next() * intervalJitterShare);
  return exchangeWithPeers(
    {
      ...state,
      exchange: { ...state.exchange, nextExchangeAt: now + interval },
    },
    peers,
    { purpose: PeerCallPurpose.AntiEntropy, now },
  );
}
