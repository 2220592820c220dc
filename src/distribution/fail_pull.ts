import { recordPeerFailure } from "../peers/record_peer_failure.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { DistributionContext } from "./distribution_context.ts";
import type { DistributionState } from "./distribution_state.ts";
import { createTransition } from "./create_transition.ts";
import type { Transition } from "./transition.ts";

/**
 * Ends a failed pull. The peer is avoided for a while, so that another one is
 * chosen; the received parts are kept for the next pull.
 */
export function failPull(
  state: DistributionState,
  failed: {
    readonly address: NetworkAddress;
    readonly context: DistributionContext;
  },
): Transition {
  return createTransition({
    ...state,
    pull: undefined,
    peers: recordPeerFailure(state.peers, failed.address, failed.context),
  });
}
