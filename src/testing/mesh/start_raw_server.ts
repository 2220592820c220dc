import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import type { RawRequest } from "./raw_request.ts";

const headEnd = "\r\n\r\n";
const lengthPattern = /^content-length: (\d+)/im;

/**
 * Starts a server on plain sockets, which can send any bytes. `onRequest` is
 * called once the head of a request has arrived; the body is read and dropped.
 */
export async function startRawServer(
  { host, port }: NetworkAddress,
  onRequest: (request: RawRequest) => void,
): Promise<{ readonly port: number; readonly close: () => void }> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    serveConnection(socket, onRequest);
  });
  server.listen(port, host);
  await once(server, "listening");
  return {
    port: getPort(server),
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

function getPort(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}

function serveConnection(
  socket: Socket,
  onRequest: (request: RawRequest) => void,
): void {
  let text = "";
  let unreadBytes = 0;

  function skipBody(bytes: Buffer): Buffer {
    const skipped = Math.min(unreadBytes, bytes.byteLength);
    unreadBytes -= skipped;
    return bytes.subarray(skipped);
  }

  socket.on("data", (bytes) => {
    text += skipBody(bytes).toString("latin1");
    const end = text.indexOf(headEnd);
    if (end < 0) return;
    const head = text.slice(0, end);
    const rest = Buffer.from(text.slice(end + headEnd.length), "latin1");
    text = "";
    unreadBytes = Number(lengthPattern.exec(head)?.[1] ?? 0);
    skipBody(rest);
    onRequest({ socket, head });
  });
}
