import type { PeerRecord } from "../peers/peer_record.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getRefreshWindow } from "./get_refresh_window.ts";

type ChangeableFields = Pick<
  PeerRecord,
  "state" | "backendServerState" | "freeSlots" | "version"
>;

/**
 * Updates this node's record. A change of state is published immediately, with
 * a new sequence. Changes of the free slots and of the version are deferred: they
 * occur on many nodes at the same time, so each node publishes them at a random
 * instant within a window that grows with the fleet, which limits the total
 * traffic.
 */
export function updateOwnRecord(
  state: DistributionState,
  change: Partial<ChangeableFields>,
  { now, random }: DistributionContext,
): DistributionState {
  const { own, known, nextRefreshAt } = state.peers;
  const changed = { ...own, ...change };
  const isUrgent = changed.state !== own.state ||
    changed.backendServerState !== own.backendServerState;
  const isChanged = isUrgent || changed.freeSlots !== own.freeSlots ||
    changed.version !== own.version;
  if (!isChanged) {
    return state;
  }
  const refreshWindow = getRefreshWindow(known.size + 1);
  return {
    ...state,
    peers: {
      ...state.peers,
      own: isUrgent ? { ...changed, sequence: own.sequence + 1 } : changed,
      nextRefreshAt: isUrgent
        ? Infinity
        : Math.min(nextRefreshAt, now + refreshWindow * random.next()),
    },
  };
}
