import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import type { Relay } from "./relay.ts";

enum RelayMode {
  Pass = "pass",
  DropResponses = "drop-responses",
  CloseOnResponse = "close-on-response",
  BufferRequests = "buffer-requests",
}

interface RelayedConnection {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
  /** Whether nothing is forwarded any more, in either direction. */
  silent: boolean;
}

/** Starts a relay in front of the listener at `target`. */
export async function startRelay(target: NetworkAddress): Promise<Relay> {
  let mode = RelayMode.Pass;
  let bufferedWrites: (() => void)[] = [];
  const connections = new Set<RelayedConnection>();
  const server = createServer((clientSocket) => {
    const connection: RelayedConnection = {
      clientSocket,
      targetSocket: connect(target.port, target.host),
      silent: false,
    };
    connections.add(connection);
    clientSocket.on("data", (chunk) => {
      if (connection.silent) {
        return;
      }
      if (mode === RelayMode.BufferRequests) {
        bufferedWrites.push(() => connection.targetSocket.write(chunk));
        return;
      }
      connection.targetSocket.write(chunk);
    });
    connection.targetSocket.on("data", (chunk) => {
      if (mode === RelayMode.CloseOnResponse) {
        clientSocket.destroy();
        return;
      }
      if (!connection.silent && mode !== RelayMode.DropResponses) {
        clientSocket.write(chunk);
      }
    });
    // While a fault drops or delays data, a close of one side is not forwarded to the other.
    const createCloseForwarder = (other: Socket) => () => {
      if (!connection.silent && mode === RelayMode.Pass) {
        other.destroy();
      }
    };
    clientSocket.on("close", createCloseForwarder(connection.targetSocket));
    connection.targetSocket.on("close", createCloseForwarder(clientSocket));
    clientSocket.on("error", () => undefined);
    connection.targetSocket.on("error", () => undefined);
  });
  return {
    address: await listenOnLoopback(server),
    stallOpenConnections: () =>
      connections.forEach((connection) => {
        connection.silent = true;
      }),
    dropResponses: () => {
      mode = RelayMode.DropResponses;
    },
    closeOnResponse: () => {
      mode = RelayMode.CloseOnResponse;
    },
    bufferRequests: () => {
      mode = RelayMode.BufferRequests;
    },
    releaseRequests: () => {
      mode = RelayMode.Pass;
      bufferedWrites.forEach((write) => write());
      bufferedWrites = [];
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        connections.forEach(
          ({ clientSocket, targetSocket }) => {
            clientSocket.destroy();
            targetSocket.destroy();
          },
        );
      }),
  };
}
