import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { PeerRecord } from "./peer_record.ts";
import type { PeersState } from "./peers_state.ts";

/**
 * Returns the address under which the node of a record is known, which may
 * differ from the address on which it listens; the address in the record if the
 * node is unknown.
 */
export function findPeerAddress(
  { known }: PeersState,
  { vm, nodeAddress }: Pick<PeerRecord, "vm" | "nodeAddress">,
): NetworkAddress {
  return known.has(formatAddress(nodeAddress))
    ? nodeAddress
    : [...known.values()].find((peer) => peer.vm === vm)?.address ??
      nodeAddress;
}
