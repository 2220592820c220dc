import type { IncomingMessage, ServerResponse } from "node:http";
import type { MeshNode } from "./mesh_node.ts";
import { OfferHeader } from "./offer_header.ts";
import { serveFeed } from "./serve_feed.ts";
import { serveOffer } from "./serve_offer.ts";

/** Serves a request of another node: a call that it offers, or the wish to follow the feed. */
export function servePeer(
  node: MeshNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const after = request.headers[OfferHeader.Feed];
  if (after === undefined) serveOffer(node, request, response);
  else serveFeed(node, request, { after: Number(after), response });
}
