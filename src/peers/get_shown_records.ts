import { getVmsInState } from "./get_vms_in_state.ts";
import { NodeState } from "./node_state.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";
import { VmSightingState } from "./vm_sighting_state.ts";

/**
 * Returns the record of each peer as others are to act on it: the node of a VM
 * that the platform lists as leaving counts as draining, whether or not it has
 * heard of that itself.
 */
export function getShownRecords(
  peers: PeersState,
): ReadonlyMap<string, PeerRecord> {
  const leaving = [...getVmsInState(peers, VmSightingState.Leaving).keys()]
    .flatMap((vm) => peers.records.get(vm) ?? [])
    .filter(({ state }) => state !== NodeState.Draining);
  return leaving.length === 0 ? peers.records : new Map([
    ...peers.records,
    ...leaving.map((record) =>
      [record.vm, { ...record, state: NodeState.Draining }] as const
    ),
  ]);
}
