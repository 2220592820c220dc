import type { Socket } from "node:net";
import { buildConnector } from "undici";
import type { SocketByteCounter } from "./socket_byte_counter.ts";

/** Creates a connector for undici whose connections are counted. */
export function createCountingConnector(
  counter: SocketByteCounter,
  options: { readonly connectMilliseconds: number },
): buildConnector.connector {
  const connect = buildConnector({ timeout: options.connectMilliseconds });
  return (target, callback) =>
    connect(target, (...outcome) => {
      // A failure comes without a socket, whatever the type says.
      const socket: Socket | null | undefined = outcome[1];
      if (socket) {
        counter.track(socket);
      }
      callback(...outcome);
    });
}
