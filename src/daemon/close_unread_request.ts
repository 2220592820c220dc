import type { IncomingMessage } from "node:http";

/**
 * Time in which a sender may complete a request that has had its response. An
 * immediate close would discard the response while the sender is still sending.
 */
const unreadMilliseconds = 1_000;

/** Closes the connection of a request that has had its response and does not end soon. */
export function closeUnreadRequest(request: IncomingMessage): void {
  if (request.complete || request.destroyed) return;
  const timeout = setTimeout(
    () => request.socket.destroy(),
    unreadMilliseconds,
  );
  request.once("close", () => clearTimeout(timeout));
}
