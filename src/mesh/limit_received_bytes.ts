import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Destroys a request whose connection delivers more than `bytesMaximum` bytes
 * until it has ended, be they part of an answer or not.
 */
export function limitReceivedBytes(
  request: ClientRequest,
  { bytesMaximum }: { readonly bytesMaximum: number },
): void {
  request.once("socket", (socket: Socket) => {
    const bytesBefore = socket.bytesRead;
    function checkBytes(): void {
      if (socket.bytesRead - bytesBefore > bytesMaximum) request.destroy();
    }
    socket.on("data", checkBytes);
    request.once("close", () => socket.off("data", checkBytes));
  });
}
