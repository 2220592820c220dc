import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionState } from "./distribution_state.ts";

/**
 * Returns the VM of the peer at an address, or the address while the VM is
 * unknown.
 */
export function getSourceName(
  state: DistributionState,
  address: NetworkAddress,
): string {
  const key = formatAddress(address);
  return state.peers.known.get(key)?.vm ?? key;
}
