import { formatAddress } from "../runtime/format_address.ts";
import { pickBest } from "../collections/pick_best.ts";
import type { KnownPeer } from "./known_peer.ts";

/**
 * Returns each node once, even if several of its addresses are known. The entry
 * with the latest contact is kept.
 */
export function getDistinctPeers(
  known: Iterable<KnownPeer>,
): readonly KnownPeer[] {
  return pickBest([...known], {
    getKey: ({ vm, address }) => vm ?? formatAddress(address),
    replaces: (peer, other) => peer.heardAt > other.heardAt,
  });
}
