import type { OwnState } from "../peers/own_state.ts";
import { formatAddress } from "../runtime/format_address.ts";
import { upsertKnownPeers } from "../peers/upsert_known_peers.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

const startJitterMilliseconds = 200;

/**
 * Creates the state of a node that starts now. Every first request is delayed
 * with full jitter, since many nodes may start at the same instant. If there
 * are seed peers, they are queried before the VM list of the platform is read.
 */
export function createDistributionState(
  ownState: OwnState,
  context: DistributionContext,
): DistributionState {
  const { now, random, settings } = context;
  const { exchangeIntervalMilliseconds, startupQuestionMilliseconds } =
    settings.timing;
  const known = createSeedPeers(settings);
  const listJitterMilliseconds = known.size === 0
    ? startJitterMilliseconds
    : startupQuestionMilliseconds / 2;
  return {
    peers: {
      own: {
        vm: settings.vm,
        zone: settings.zone,
        nodeAddress: settings.listeners.nodes,
        incarnation: now,
        sequence: 1,
        ...ownState,
        version: undefined,
      },
      nextRefreshAt: Infinity,
      records: new Map(),
      known,
      listedVms: undefined,
      implausibleListSince: undefined,
      sightings: new Map(),
      remainingRecordSends: new Map(),
      remainingSightingSends: new Map(),
    },
    versions: {
      inForce: undefined,
      appliedAt: undefined,
      candidate: undefined,
      parts: new Map(),
      refusedDigests: [],
      refusal: undefined,
      remainingRefusalSends: 0,
      conflict: undefined,
    },
    startup: {
      isComplete: false,
      nextQueryAt: now + random.next() * startJitterMilliseconds,
      responseDeadline: now + startupQuestionMilliseconds,
      hasDiscoveredPeers: false,
      answers: new Map(),
      minimumVersion: undefined,
    },
    platform: {
      isReader: false,
      nextReadAt: now + distributionLimits.platformSilenceMilliseconds *
          (1 + random.next()),
      isReading: false,
      earliestReadAt: 0,
      revision: undefined,
      reachable: undefined,
      failures: 0,
      heardAt: 0,
      nextListAt: now + random.next() * listJitterMilliseconds,
      isListing: false,
      lastIgnoredVersion: undefined,
    },
    exchange: {
      nextExchangeAt: now + random.next() * exchangeIntervalMilliseconds,
      heardAt: now,
      nextReconcileAt: now,
    },
    pull: undefined,
    confirmation: undefined,
    stopping: false,
  };
}

function createSeedPeers(
  settings: DistributionContext["settings"],
): ReadonlyMap<string, KnownPeer> {
  const ownAddress = formatAddress(settings.listeners.nodes);
  return upsertKnownPeers(
    new Map(),
    settings.seedPeers
      .filter((address) => formatAddress(address) !== ownAddress)
      .map((address) => ({ address, isSeed: true })),
  );
}
