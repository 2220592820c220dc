import { formatAddress } from "../runtime/format_address.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { RandomSource } from "../runtime/random_source.ts";
import type { PeersState } from "./peers_state.ts";
import { upsertKnownPeers } from "./upsert_known_peers.ts";

const firstAvoidMilliseconds = 500;
const maxAvoidMilliseconds = 30_000;

/** Notes that a control call to an address failed; it is avoided for a time that doubles, with full jitter. */
export function notePeerFailed(
  state: PeersState,
  address: NetworkAddress,
  context: { readonly now: number; readonly random: RandomSource },
): PeersState {
  const former = state.known.get(formatAddress(address));
  if (former === undefined) {
    return state;
  }
  const span = Math.min(
    maxAvoidMilliseconds,
    firstAvoidMilliseconds * 2 ** former.failures,
  );
  return {
    ...state,
    known: upsertKnownPeers(state.known, [{
      address,
      failures: former.failures + 1,
      avoidUntil: context.now + span * (1 + context.random.next()) / 2,
    }]),
  };
}
