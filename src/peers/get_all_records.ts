import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";

/** Returns the records of all known nodes, including this node. */
export function getAllRecords(state: PeersState): readonly PeerRecord[] {
  return [state.own, ...state.records.values()];
}
