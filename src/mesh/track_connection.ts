import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { ConnectTimeoutError } from "./connect_timeout_error.ts";

/** A round trip takes a few milliseconds; a VM without power never responds. */
const connectTimeoutMilliseconds = 200;

/**
 * Tracks whether the connection of a request is established, and destroys it if
 * that takes too long. `onConnected` is called once it is established.
 */
export function trackConnection(
  request: ClientRequest,
  onConnected: () => void = () => undefined,
): { readonly isConnected: () => boolean } {
  let connected = false;
  const handleConnected = () => {
    connected = true;
    onConnected();
  };
  request.once("socket", (socket: Socket) => {
    if (!socket.connecting) {
      handleConnected();
      return;
    }
    const timeout = setTimeout(
      () => socket.destroy(new ConnectTimeoutError(connectTimeoutMilliseconds)),
      connectTimeoutMilliseconds,
    );
    socket.once("connect", () => {
      clearTimeout(timeout);
      handleConnected();
    });
    socket.once("close", () => clearTimeout(timeout));
  });
  return { isConnected: () => connected };
}
