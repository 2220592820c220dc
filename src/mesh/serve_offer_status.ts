import type { IncomingMessage, ServerResponse } from "node:http";
import { getOfferStatus } from "../offers/get_offer_status.ts";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";

const okStatus = 200;

/** Replies to the query of another node for the status of an offer. */
export function serveOfferStatus(
  node: MeshNode,
  request: IncomingMessage,
  options: {
    readonly offerIdentifier: string;
    readonly response: ServerResponse;
  },
): void {
  const { offerIdentifier, response } = options;
  request.resume();
  const now = node.clock.now();
  const status = getOfferStatus(node.offers, { offerIdentifier, now });
  response.writeHead(okStatus, {
    [OfferHeader.Status]: status,
    "connection": "close",
  }).end();
}
