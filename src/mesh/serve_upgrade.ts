import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { formatRawResponse } from "../daemon/format_raw_response.ts";
import type { MeshNode } from "./mesh_node.ts";
import { offerProtocol } from "./offer_protocol.ts";
import { offerStatuses } from "./offer_statuses.ts";
import { serveOfferConnection } from "./serve_offer_connection.ts";

/** Serves a request of another node to change the protocol of its connection. */
export function serveUpgrade(
  node: MeshNode,
  request: IncomingMessage,
  options: { readonly socket: Socket; readonly head: Buffer },
): void {
  const { socket, head } = options;
  if (request.headers.upgrade === offerProtocol && !node.stopping) {
    serveOfferConnection(node, socket, head);
    return;
  }
  socket.on("error", () => undefined);
  socket.end(formatRawResponse({
    status: offerStatuses.invalid,
    headers: [],
    body: "",
  }));
}
