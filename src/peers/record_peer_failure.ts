import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

const initialBackoffMilliseconds = 500;
const maxBackoffMilliseconds = 30_000;

/**
 * Records that a control request to an address failed. The address is avoided for
 * an exponential backoff, of which up to half is jitter.
 */
export function recordPeerFailure(
  state: PeersState,
  address: NetworkAddress,
  context: { readonly now: number; readonly random: RandomSource },
): PeersState {
  const previous = state.known.get(formatAddress(address));
  if (previous === undefined) {
    return state;
  }
  const backoff = Math.min(
    maxBackoffMilliseconds,
    initialBackoffMilliseconds * 2 ** previous.failures,
  );
  return {
    ...state,
    known: upsertKnownPeers(state.known, [{
      address,
      failures: previous.failures + 1,
      avoidUntil: context.now + backoff * (1 + context.random.next()) / 2,
    }]),
  };
}
