import { formatAddress } from "../runtime/format_address.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { KnownPeer } from "./known_peer.ts";
import { findSightings } from "./find_sightings.ts";
import { isImplausibleList } from "./is_implausible_list.ts";
import { mergeSightings } from "./merge_sightings.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/** How long an implausible list must stay so before it is taken at its word. */
const doubtMilliseconds = 600_000;
const forgetSilentPeerMilliseconds = 600_000;

/** Takes over the platform's list of VMs as read at the instant `now`. */
export function takeListedVms(
  state: PeersState,
  vms: readonly VmEntry[],
  { now }: { readonly now: number },
): PeersState {
  const listed = new Map(vms.map((entry) => [entry.vm, entry]));
  const formerVms = [...state.listedVms?.keys() ?? []];
  const doubtedSince = isImplausibleList(formerVms, new Set(listed.keys()))
    ? state.listDoubtedSince ?? now
    : undefined;
  if (doubtedSince !== undefined && now < doubtedSince + doubtMilliseconds) {
    return { ...state, listDoubtedSince: doubtedSince };
  }
  return mergeSightings(
    {
      ...state,
      listDoubtedSince: undefined,
      listedVms: listed,
      known: updateKnown(state, { vms, now }),
    },
    findSightings(state, listed, { now }),
  );
}

function updateKnown(
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
      peer.heardAt + forgetSilentPeerMilliseconds > options.now
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
