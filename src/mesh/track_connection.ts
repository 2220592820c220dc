import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { ConnectTimeoutError } from "./connect_timeout_error.ts";

/** A round trip takes a few milliseconds; a VM without power never responds. */
const connectTimeoutMilliseconds = 200;

/**
 * Tracks whether the connection of a request is established, and destroys it if
 * that takes too long.
 */
export function trackConnection(
  request: ClientRequest,
): { readonly isConnected: () => boolean } {
  let connected = false;
  request.once("socket", (socket: Socket) => {
    if (!socket.connecting) {
      connected = true;
      return;
    }
    const timeout = setTimeout(
      () => socket.destroy(new ConnectTimeoutError(connectTimeoutMilliseconds)),
      connectTimeoutMilliseconds,
    );
    socket.once("connect", () => {
      clearTimeout(timeout);
      connected = true;
    });
    socket.once("close", () => clearTimeout(timeout));
  });
  return { isConnected: () => connected };
}
