import { formatAddress } from "../runtime/format_address.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { KnownPeerChange } from "./known_peer_change.ts";

/** Adds or changes the peers at some addresses; fields that a change leaves out stay. */
export function upsertKnownPeers(
  known: ReadonlyMap<string, KnownPeer>,
  changes: readonly KnownPeerChange[],
): ReadonlyMap<string, KnownPeer> {
  const changed = changes
    .map((change) => [formatAddress(change.address), change] as const)
    .filter(([key, change]) => isChange(known.get(key), change));
  if (changed.length === 0) {
    return known;
  }
  // Copied once for all changes: a copy for each would cost the square of a fleet.
  const next = new Map(known);
  changed.forEach(([key, change]) =>
    next.set(key, {
      ...(next.get(key) ?? createKnownPeer(change.address)),
      ...change,
    })
  );
  return next;
}

function isChange(
  former: KnownPeer | undefined,
  change: KnownPeerChange,
): boolean {
  return former === undefined ||
    (Object.keys(change) as (keyof KnownPeerChange)[]).some((field) =>
      field !== "address" && former[field] !== change[field]
    );
}

function createKnownPeer(address: KnownPeer["address"]): KnownPeer {
  return {
    address,
    vm: undefined,
    zone: undefined,
    isSeed: false,
    isListed: false,
    isRegistered: false,
    failures: 0,
    avoidUntil: 0,
    heldVersion: undefined,
    heardAt: 0,
  };
}
