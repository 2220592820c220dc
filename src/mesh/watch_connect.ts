import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import { ConnectTimeout } from "./connect_timeout.ts";

/** Round trips take a few milliseconds; a VM without power never answers. */
const connectMilliseconds = 200;

/** Watches the connection of a request, and destroys one that does not come about in time. */
export function watchConnect(
  request: ClientRequest,
): { readonly isConnected: () => boolean } {
  let connected = false;
  request.once("socket", (socket: Socket) => {
    if (!socket.connecting) {
      connected = true;
      return;
    }
    const timeout = setTimeout(
      () => socket.destroy(new ConnectTimeout(connectMilliseconds)),
      connectMilliseconds,
    );
    socket.once("connect", () => {
      clearTimeout(timeout);
      connected = true;
    });
    socket.once("close", () => clearTimeout(timeout));
  });
  return { isConnected: () => connected };
}
