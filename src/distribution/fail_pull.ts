import { notePeerFailed } from "../peers/note_peer_failed.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { stay } from "./stay.ts";
import type { Transition } from "./transition.ts";

/**
 * Ends a pull that came to nothing. The peer is avoided for a while, so that
 * another one is asked; the parts that came stay for the next pull.
 */
export function failPull(
  state: DistributionState,
  failed: {
    readonly address: NetworkAddress;
    readonly context: DistributionContext;
  },
): Transition {
  return stay({
    ...state,
    pull: undefined,
    peers: notePeerFailed(state.peers, failed.address, failed.context),
  });
}
