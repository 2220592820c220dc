import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/**
 * Notes which node answers at an address. It may be another address than the
 * one that the node listens on itself, where something relays in between, and
 * it may lead back to this node, which is then no peer.
 */
export function notePeerIdentity(
  state: PeersState,
  address: NetworkAddress,
  { vm, zone }: Pick<PeerRecord, "vm" | "zone">,
): PeersState {
  const key = formatAddress(address);
  return {
    ...state,
    known: vm === state.own.vm
      ? new Map([...state.known].filter(([other]) => other !== key))
      : upsertKnownPeers(state.known, [{ address, vm, zone }]),
  };
}
