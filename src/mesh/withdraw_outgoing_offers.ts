import type { MeshNode } from "./mesh_node.ts";
import { offerIdentifierSeparator } from "./offer_identifier_separator.ts";
import { OfferHeader } from "./offer_header.ts";
import { requestNode } from "./request_node.ts";

/** Shorter than the rest of a stop, in which the refusals of the offers arrive. */
const requestMilliseconds = 500;

/**
 * Withdraws the offers that this node has made and that have no outcome yet. Each
 * that still waits for a slot is then refused by the other node, which never runs
 * it. A node of an earlier version ignores the request.
 */
export function withdrawOutgoingOffers(node: MeshNode): void {
  const deadline = node.clock.now() + requestMilliseconds;
  const offers = Array.from(node.outgoingOffers);
  const hosts = new Set(offers.map(([, host]) => host));
  hosts.forEach((host) => {
    const identifiers = offers
      .filter(([, offerHost]) => offerHost === host)
      .map(([identifier]) => identifier);
    void requestNode(node, {
      host,
      headers: {
        [OfferHeader.Withdraw]: identifiers.join(offerIdentifierSeparator),
      },
      body: "",
      deadline,
    });
  });
}
