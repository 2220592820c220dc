import { formatAddress } from "../runtime/format_address.ts";
import { pickBest } from "../collections/pick_best.ts";
import type { KnownPeer } from "./known_peer.ts";

/** Returns each node once, whichever of its addresses are known. */
export function getDistinctPeers(
  known: Iterable<KnownPeer>,
): readonly KnownPeer[] {
  return pickBest([...known], {
    getKey: ({ vm, address }) => vm ?? formatAddress(address),
    replaces: (peer, other) => peer.heardAt > other.heardAt,
  });
}
