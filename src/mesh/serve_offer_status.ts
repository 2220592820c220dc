import type { IncomingMessage, ServerResponse } from "node:http";
import { replyToOfferQuery } from "../offers/reply_to_offer_query.ts";
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
  const status = replyToOfferQuery(node.offers, { offerIdentifier, now });
  response.writeHead(okStatus, {
    [OfferHeader.Status]: status,
    [OfferHeader.Recorded]: String(Math.floor(now - node.startedAt)),
    "connection": "close",
  }).end();
}
