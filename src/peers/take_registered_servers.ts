import type { BackendServer } from "../configuration/backend_server.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeer } from "./upsert_known_peer.ts";

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
    known: others.reduce<ReadonlyMap<string, KnownPeer>>(
      (known, { vm, zone, nodeAddress }) =>
        upsertKnownPeer(known, {
          vm,
          zone,
          address: nodeAddress,
          isRegistered: true,
        }),
      former,
    ),
  };
}
