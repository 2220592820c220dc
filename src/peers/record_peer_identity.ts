import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/**
 * Records which node was reached at an address. The node itself may listen on
 * another address, if there is a relay in between. An address that leads back
 * to this node is removed, since it is not a peer.
 */
export function recordPeerIdentity(
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
