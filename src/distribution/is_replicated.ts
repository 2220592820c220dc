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
  const isElsewhere = (key: string) =>
    peers.known.get(key)?.zone !== peers.own.zone;
  const needed = Math.min(distributionLimits.replicas, peers.known.size);
  const hasElsewhere = [...peers.known.keys()].some(isElsewhere);
  return stored.size >= needed &&
    (!hasElsewhere || [...stored].some(isElsewhere));
}
