import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { ConnectTimeoutError } from "./connect_timeout_error.ts";

/** Round trips take a few milliseconds; a VM without power never answers. */
const connectTimeoutMilliseconds = 200;

/** Watches the connection of a request, and destroys one that does not come about in time. */
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
