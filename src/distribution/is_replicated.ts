import { getDistinctPeers } from "../peers/get_distinct_peers.ts";
import type { KnownPeer } from "../peers/known_peer.ts";
import type { Candidate } from "./candidate.ts";
import { distributionLimits } from "./distribution_limits.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Whether enough peers hold the candidate, one of them in another zone where a
 * peer of another zone is known, so that this node's failure loses nothing.
 */
export function isReplicated(
  { peers }: DistributionState,
  { replication: { stored } }: Candidate,
): boolean {
  const isElsewhere = ({ zone }: KnownPeer) => zone !== peers.own.zone;
  const known = getDistinctPeers(peers.known.values());
  const holders = getDistinctPeers(
    [...stored].flatMap((key) => peers.known.get(key) ?? []),
  );
  const needed = Math.min(distributionLimits.replicas, known.length);
  return holders.length >= needed &&
    (!known.some(isElsewhere) || holders.some(isElsewhere));
}
