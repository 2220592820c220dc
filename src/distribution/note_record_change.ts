import type { PeerRecord } from "../peers/peer_record.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { getRefreshSpan } from "./get_refresh_span.ts";

type ChangeableFields = Pick<
  PeerRecord,
  "state" | "backendServerState" | "freeSlots" | "version"
>;

/**
 * Changes the own record. A change of state is told at once, under a new
 * sequence. Free slots and the version can wait: they change on many nodes at
 * the same time, so each node tells them at a random instant within a span
 * that grows with the fleet, which bounds what all of them send.
 */
export function noteRecordChange(
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
  const span = getRefreshSpan(known.size + 1);
  return {
    ...state,
    peers: {
      ...state.peers,
      own: isUrgent ? { ...changed, sequence: own.sequence + 1 } : changed,
      nextRefreshAt: isUrgent
        ? Infinity
        : Math.min(nextRefreshAt, now + span * random.next()),
    },
  };
}
