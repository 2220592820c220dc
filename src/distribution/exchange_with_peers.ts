import type { KnownPeer } from "../peers/known_peer.ts";
import type { PeerCallPurpose } from "./peer_call_purpose.ts";
import { chainSteps } from "./chain_steps.ts";
import { createPeerCallEffect } from "./create_peer_call_effect.ts";
import { createExchangeMessage } from "./create_exchange_message.ts";
import { DistributionMethod } from "./distribution_method.ts";
import type { DistributionState } from "./distribution_state.ts";
import type { Transition } from "./transition.ts";

/** Starts an exchange with each of the peers. */
export function exchangeWithPeers(
  state: DistributionState,
  peers: readonly KnownPeer[],
  options: { readonly purpose: PeerCallPurpose; readonly now: number },
): Transition {
  return chainSteps(
    state,
    peers.map((peer) => (current) => {
      const { message, state: next } = createExchangeMessage(current);
      return {
        state: next,
        effects: [createPeerCallEffect(peer, {
          ...options,
          request: { method: DistributionMethod.Exchange, parameters: message },
        })],
      };
    }),
  );
}
