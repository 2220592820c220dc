import { getDistinctPeers } from "../peers/get_distinct_peers.ts";
import { NodeState } from "../peers/node_state.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { DistributionContext } from "./distribution_context.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";
import { StartupQueryStatus } from "./startup_query_status.ts";

/**
 * The failed calls after which a peer counts as unreachable; a single failure
 * does not suffice, since the peer may store the only version.
 */
const unreachablePeerFailures = 3;

/**
 * Completes the startup query once a first version may be put in force: a peer
 * that stores a version has responded and no further response is pending; or
 * most peers store none, which is the first start of the fleet; or there is no
 * other node. Until then the value of the platform does not suffice, since it
 * may be older than the version that this node had in force before it restarted.
 */
export function updateStartup(
  state: DistributionState,
  { now }: DistributionContext,
): DistributionState {
  const { startup } = state;
  return !startup.isComplete &&
      (hasSufficientResponses(state, now) || isFirstStart(state) ||
        hasNoPeers(state))
    ? { ...state, startup: { ...startup, isComplete: true } }
    : state;
}

function hasSufficientResponses(
  state: DistributionState,
  now: number,
): boolean {
  const { startup } = state;
  return [...startup.answers.values()].includes(
    StartupQueryStatus.HasVersion,
  ) &&
    (hasAllResponses(state) || now >= startup.responseDeadline);
}

function isFirstStart(state: DistributionState): boolean {
  const { startup, peers } = state;
  const known = getDistinctPeers(peers.known.values());
  const peersWithoutVersion = known.filter((peer) =>
    isWithoutVersion(state, peer)
  );
  const isResolved = ({ address, failures }: KnownPeer) =>
    startup.answers.get(formatAddress(address)) !== StartupQueryStatus.Failed ||
    failures >= unreachablePeerFailures;
  return peers.listedVms !== undefined && hasAllResponses(state) &&
    ![...startup.answers.values()].includes(StartupQueryStatus.HasVersion) &&
    known.every(isResolved) && peersWithoutVersion.length * 2 > known.length;
}

/**
 * Whether enough peers were queried and each of them has responded or failed.
 * The version that this node had in force may have reached only some of them
 * before the node stopped, and if many nodes restart together, most peers may
 * have just started.
 */
function hasAllResponses({ startup, peers }: DistributionState): boolean {
  const statuses = [...startup.answers.values()];
  const required = Math.min(
    distributionLimits.startupOwnZonePeers +
      distributionLimits.startupOtherZonePeers,
    peers.known.size,
  );
  return !statuses.includes(StartupQueryStatus.Pending) &&
    statuses.length >= required &&
    (startup.hasDiscoveredPeers || peers.listedVms !== undefined);
}

/**
 * A record passed on by a third node counts too, so that a node in a large
 * fleet need not query every peer.
 */
function isWithoutVersion(
  { startup, peers }: DistributionState,
  peer: KnownPeer,
): boolean {
  const status = startup.answers.get(formatAddress(peer.address));
  const record = peer.vm === undefined ? undefined : peers.records.get(peer.vm);
  return status === StartupQueryStatus.HasNoVersion ||
    (record?.state === NodeState.Starting && record.version === undefined);
}

function hasNoPeers({ peers }: DistributionState): boolean {
  return peers.listedVms !== undefined && peers.known.size === 0;
}
