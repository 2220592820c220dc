import type { DistributionState } from "./distribution_state.ts";

/**
 * Raises the sequence of this node's record, so that deferred changes are
 * published.
 */
export function refreshOwnRecord(state: DistributionState): DistributionState {
  const { own } = state.peers;
  return {
    ...state,
    peers: {
      ...state.peers,
      own: { ...own, sequence: own.sequence + 1 },
      nextRefreshAt: Infinity,
    },
  };
}
