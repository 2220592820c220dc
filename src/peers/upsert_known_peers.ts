import { formatAddress } from "../runtime/format_address.ts";
import type { KnownPeer } from "./known_peer.ts";
import type { KnownPeerChange } from "./known_peer_change.ts";

/**
 * Adds or updates the known peers at some addresses. Fields that a change
 * leaves out are kept.
 */
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
  // Copied once for all changes: with a copy for each, the cost would grow with
  // the square of the fleet size.
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
  previous: KnownPeer | undefined,
  change: KnownPeerChange,
): boolean {
  return previous === undefined ||
    (Object.keys(change) as (keyof KnownPeerChange)[]).some((field) =>
      field !== "address" && previous[field] !== change[field]
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
