import type { Socket } from "node:net";
import { buildConnector } from "undici";
import type { SocketByteCounter } from "./socket_byte_counter.ts";

/** Creates an `undici` connector that registers each connection with `counter`. */
export function createCountingConnector(
  counter: SocketByteCounter,
  options: { readonly connectTimeoutMilliseconds: number },
): buildConnector.connector {
  const connect = buildConnector({
    timeout: options.connectTimeoutMilliseconds,
  });
  return (target, callback) =>
    connect(target, (...result) => {
      // The socket is missing on failure, although the type does not allow it.
      const socket: Socket | null | undefined = result[1];
      if (socket) {
        counter.track(socket);
      }
      callback(...result);
    });
}
