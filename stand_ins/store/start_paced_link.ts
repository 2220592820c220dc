import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { PacedLink } from "./paced_link.ts";

const tickMilliseconds = 10;
const bitsPerByte = 8;
const bytesPerKilobit = 1_000 / bitsPerByte;

/** Bytes of a connection that wait for their turn on the link. */
interface WaitingBytes {
  readonly client: Socket;
  readonly target: Socket;
  bytes: Buffer;
}

/**
 * Starts a link to a server that all of its connections share. What the server
 * sends takes the time that a link of this bandwidth needs.
 */
export async function startPacedLink(
  options: {
    readonly target: NetworkAddress;
    readonly host: string;
    readonly megabitsPerSecond: number;
  },
): Promise<PacedLink> {
  const bytesPerTick = options.megabitsPerSecond * bytesPerKilobit *
    tickMilliseconds;
  const sockets = new Set<Socket>();
  let waiting: readonly WaitingBytes[] = [];

  function forward(): void {
    let room = bytesPerTick;
    while (room > 0 && waiting.length > 0) {
      const [first] = waiting;
      const part = first!.bytes.subarray(0, room);
      first!.client.write(part);
      room -= part.byteLength;
      first!.bytes = first!.bytes.subarray(part.byteLength);
      if (first!.bytes.byteLength > 0) continue;
      waiting = waiting.slice(1);
      first!.target.resume();
    }
  }

  const timer = setInterval(forward, tickMilliseconds);
  const server = createServer((client) => {
    const target = connect(options.target);
    const pair = [client, target];
    pair.forEach((socket) => {
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => {
        sockets.delete(socket);
        pair.forEach((other) => other.destroy());
      });
    });
    client.pipe(target);
    target.on("data", (bytes: Buffer) => {
      // One part of each connection waits, so that none fills the link alone.
      target.pause();
      waiting = [...waiting, { client, target, bytes }];
    });
  });
  server.listen(0, options.host);
  await once(server, "listening");
  const bound = server.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;
  return {
    address: { host: options.host, port },
    close: () => {
      clearInterval(timer);
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
