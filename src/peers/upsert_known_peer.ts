import { formatAddress } from "../runtime/format_address.ts";
import type { KnownPeer } from "./known_peer.ts";

/** Adds or changes the peer at an address; fields that `change` leaves out stay. */
export function upsertKnownPeer(
  known: ReadonlyMap<string, KnownPeer>,
  change: Pick<KnownPeer, "address"> & Partial<KnownPeer>,
): ReadonlyMap<string, KnownPeer> {
  const key = formatAddress(change.address);
  const former = known.get(key) ?? createKnownPeer(change.address);
  const isChanged = !known.has(key) ||
    (Object.keys(change) as (keyof KnownPeer)[]).some((field) =>
      field !== "address" && former[field] !== change[field]
    );
  return isChanged
    ? new Map([...known, [key, { ...former, ...change }]])
    : known;
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
