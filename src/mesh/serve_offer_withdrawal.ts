import type { IncomingMessage, ServerResponse } from "node:http";
import { RefusalReason } from "../calls/refusal_reason.ts";
import { cancelSlotRequest } from "../gate/cancel_slot_request.ts";
import { withdrawOffer } from "../offers/withdraw_offer.ts";
import type { MeshNode } from "./mesh_node.ts";
import { offerIdentifierSeparator } from "./offer_identifier_separator.ts";

const okStatus = 200;

/**
 * Serves the withdrawal of offers by the node that made them. Those that wait for
 * a slot are refused on their own connections; those that run are not affected.
 */
export function serveOfferWithdrawal(
  node: MeshNode,
  request: IncomingMessage,
  options: {
    /** The identifiers of the offers, separated. */
    readonly offers: string;
    readonly response: ServerResponse;
  },
): void {
  request.resume();
  options.offers.split(offerIdentifierSeparator).forEach((offerIdentifier) => {
    withdrawOffer(node.offers, { offerIdentifier, now: node.clock.now() });
    refuseWaitingOffer(node, offerIdentifier);
  });
  options.response.writeHead(okStatus).end();
}

function refuseWaitingOffer(node: MeshNode, offerIdentifier: string): void {
  const waiter = node.slotWaiters.get(offerIdentifier);
  if (waiter === undefined) return;
  node.slotWaiters.delete(offerIdentifier);
  cancelSlotRequest(node.gate, offerIdentifier);
  waiter.onRefused(RefusalReason.OfferWithdrawn, 0);
}
