import type { BackendServer } from "../configuration/backend_server.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/**
 * Adds the nodes beside the backend servers of the configuration in force to
 * the known peers, and updates which peers are registered.
 */
export function applyRegisteredServers(
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
  const known = new Map(
    [...state.known].map(([key, peer]) => [key, {
      ...peer,
      isRegistered: registered.has(key),
    }]),
  );
  return {
    ...state,
    known: upsertKnownPeers(
      known,
      others.map(({ vm, zone, nodeAddress }) => ({
        vm,
        zone,
        address: nodeAddress,
        isRegistered: true,
      })),
    ),
  };
}
