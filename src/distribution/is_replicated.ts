import { getDistinctPeers } from "../peers/get_distinct_peers.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import type { Candidate } from "./candidate.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Whether enough peers store the candidate, so that a failure of this node
 * loses nothing. One of them must be in another zone if a peer in another zone
 * is known.
 */
export function isReplicated(
  { peers }: DistributionState,
  { replication: { stored } }: Candidate,
): boolean {
  const isInOtherZone = ({ zone }: KnownPeer) => zone !== peers.own.zone;
  const known = getDistinctPeers(peers.known.values());
  const storingPeers = getDistinctPeers(
    [...stored].flatMap((key) => peers.known.get(key) ?? []),
  );
  const required = Math.min(distributionLimits.replicas, known.length);
  return storingPeers.length >= required &&
    (!known.some(isInOtherZone) || storingPeers.some(isInOtherZone));
}
