import type { BackendServer } from "../configuration/backend_server.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/** Takes over the nodes beside the backend servers of the configuration in force. */
export function takeRegisteredServers(
  state: PeersState,
  servers: Iterable<BackendServer>,
): PeersState {
  const ownAddress = formatAddress(state.own.nodeAddress);
  const others = [...servers].filter(({ vm, nodeAddress }) =>
    vm !== state.own.vm && formatAddress(nodeAddress) !== ownAddress
  );
  const registered = new Set(
    others.map(({ nodeAddress }) => formatAddress(nodeAddress)),
  );
  const former = new Map(
    [...state.known].map(([key, peer]) => [key, {
      ...peer,
      isRegistered: registered.has(key),
    }]),
  );
  return {
    ...state,
    known: upsertKnownPeers(
      former,
      others.map(({ vm, zone, nodeAddress }) => ({
        vm,
        zone,
        address: nodeAddress,
        isRegistered: true,
      })),
    ),
  };
}
