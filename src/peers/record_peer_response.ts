import type { Version } from "../configuration/version.ts";
import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

/**
 * Records that the node at a known address responded or sent a request, and the
 * version that it reports to store.
 */
export function recordPeerResponse(
  state: PeersState,
  address: NetworkAddress,
  report: { readonly at: number; readonly heldVersion: Version | undefined },
): PeersState {
  return !state.known.has(formatAddress(address)) ? state : {
    ...state,
    known: upsertKnownPeers(state.known, [{
      address,
      failures: 0,
      avoidUntil: 0,
      heardAt: report.at,
      heldVersion: report.heldVersion,
    }]),
  };
}
