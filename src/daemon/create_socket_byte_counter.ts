import type { Socket } from "node:net";
import type { SocketByteCounter } from "./socket_byte_counter.ts";

/** Creates a byte counter without connections. */
export function createSocketByteCounter(): SocketByteCounter {
  const open = new Set<Socket>();
  let closedBytesRead = 0;
  let closedBytesWritten = 0;

  return {
    track(socket) {
      open.add(socket);
      socket.once("close", () => {
        open.delete(socket);
        closedBytesRead += socket.bytesRead;
        closedBytesWritten += socket.bytesWritten;
      });
    },
    getBytesRead: () =>
      [...open].reduce(
        (sum, { bytesRead }) => sum + bytesRead,
        closedBytesRead,
      ),
    getBytesWritten: () =>
      [...open].reduce(
        (sum, { bytesWritten }) => sum + bytesWritten,
        closedBytesWritten,
      ),
  };
}
