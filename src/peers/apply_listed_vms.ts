import { formatAddress } from "../runtime/format_address.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { KnownPeer } from "./known_peer.ts";
import { findSightings } from "./find_sightings.ts";
import { isImplausibleList } from "./is_implausible_list.ts";
import { mergeSightings } from "./merge_sightings.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/** How long the list must stay implausible before it is accepted. */
const implausibleListTimeoutMilliseconds = 600_000;
const silentPeerTimeoutMilliseconds = 600_000;

/**
 * Applies the VM list of the platform, read at the instant `now`. Implausible
 * lists are ignored until the platform has returned nothing else for
 * `implausibleListTimeoutMilliseconds`.
 */
export function applyListedVms(
  state: PeersState,
  vms: readonly VmEntry[],
  { now }: { readonly now: number },
): PeersState {
  const listed = new Map(vms.map((entry) => [entry.vm, entry]));
  const previousVms = [...state.listedVms?.keys() ?? []];
  const implausibleSince =
    isImplausibleList(previousVms, new Set(listed.keys()))
      ? state.implausibleListSince ?? now
      : undefined;
  if (
    implausibleSince !== undefined &&
    now < implausibleSince + implausibleListTimeoutMilliseconds
  ) {
    return { ...state, implausibleListSince: implausibleSince };
  }
  return mergeSightings(
    {
      ...state,
      implausibleListSince: undefined,
      listedVms: listed,
      known: updateKnownPeers(state, { vms, now }),
    },
    findSightings(state, listed, { now }),
  );
}

function updateKnownPeers(
  state: PeersState,
  options: { readonly vms: readonly VmEntry[]; readonly now: number },
): ReadonlyMap<string, KnownPeer> {
  const ownAddress = formatAddress(state.own.nodeAddress);
  const others = options.vms.filter(({ vm, nodeAddress }) =>
    vm !== state.own.vm && formatAddress(nodeAddress) !== ownAddress
  );
  const listedKeys = new Set(
    others.map(({ nodeAddress }) => formatAddress(nodeAddress)),
  );
  const kept = [...state.known]
    .map(([key, peer]) =>
      [key, { ...peer, isListed: listedKeys.has(key) }] as const
    )
    .filter(([, peer]) =>
      peer.isSeed || peer.isListed || peer.isRegistered ||
      peer.heardAt + silentPeerTimeoutMilliseconds > options.now
    );
  return upsertKnownPeers(
    new Map(kept),
    others.map(({ vm, zone, nodeAddress }) => ({
      vm,
      zone,
      address: nodeAddress,
      isListed: true,
    })),
  );
}
