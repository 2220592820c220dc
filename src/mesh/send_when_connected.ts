import type { ClientRequest } from "node:http";
import { detectClosedConnections } from "./detect_closed_connections.ts";
import type { MeshNode } from "./mesh_node.ts";
import { trackConnection } from "./track_connection.ts";

/**
 * Sends a request as soon as its connection is established, unless it was
 * cancelled until then.
 *
 * Nothing is written before, so a request whose connection is rejected has
 * certainly not run. While the event loop is behind, establishing a connection
 * takes a whole turn, in which the caller may leave.
 */
export function sendWhenConnected(
  node: MeshNode,
  request: ClientRequest,
  { body }: { readonly body: Buffer },
): { readonly isConnected: () => boolean; readonly isSent: () => boolean } {
  let sent = false;
  const { isConnected } = trackConnection(request, ({ isNew }) => {
    if (!isNew) return send();
    void detectClosedConnections(node, { turns: 1 }).then(send);
  });

  function send(): void {
    if (request.destroyed) return;
    sent = true;
    request.end(body.length > 0 ? body : undefined);
  }

  return { isConnected, isSent: () => sent };
}
