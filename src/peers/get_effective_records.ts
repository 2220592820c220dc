import { getVmsInState } from "./get_vms_in_state.ts";
import { NodeState } from "./node_state.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";
import { VmSightingState } from "./vm_sighting_state.ts";

/**
 * Returns the record of each peer with the state that other nodes have to
 * assume: the node of a VM that the platform lists as leaving counts as
 * draining, even if the node itself does not report this yet.
 */
export function getEffectiveRecords(
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
