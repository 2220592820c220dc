import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { Relay } from "./relay.ts";
import type { RelayMode } from "./relay_mode.ts";
import { relayModeSchema } from "./relay_mode_schema.ts";

interface RelayedConnection {
  readonly client: Socket;
  readonly target: Socket;
  silent: boolean;
}

/** Creates a relay that passes everything on until its mode is set. */
export function createRelay(targetAddress: NetworkAddress): Relay {
  const connections = new Set<RelayedConnection>();
  let mode: RelayMode = relayModeSchema.parse({});

  const end = (connection: RelayedConnection) => {
    connections.delete(connection);
    connection.client.destroy();
    connection.target.destroy();
  };
  const reset = (connection: RelayedConnection) => {
    connections.delete(connection);
    connection.client.resetAndDestroy();
    connection.target.resetAndDestroy();
  };
  const pass = (connection: RelayedConnection, from: Socket, to: Socket) => {
    from.on("data", (data) => {
      const isDropped = mode.oneWay && from === connection.target;
      if (connection.silent || isDropped) {
        return;
      }
      const write = () => !connection.silent && to.writable && to.write(data);
      mode.delayMilliseconds > 0
        ? setTimeout(write, mode.delayMilliseconds)
        : write();
    });
    from.on("error", () => connection.silent || end(connection));
    from.on("close", () => connection.silent || end(connection));
  };
  const server = createServer((client) => {
    if (mode.newConnections === "refuse") {
      client.destroy();
      return;
    }
    const target = connect(targetAddress);
    const silent = mode.newConnections === "silent";
    const connection = { client, target, silent };
    connections.add(connection);
    pass(connection, client, target);
    pass(connection, target, client);
  });
  return {
    server,
    setMode(next) {
      mode = next;
      if (next.openConnections === "cut") {
        [...connections].forEach(end);
      } else if (next.openConnections === "reset") {
        [...connections].forEach(reset);
      } else if (next.openConnections === "silent") {
        connections.forEach((connection) => {
          connection.silent = true;
        });
      }
    },
    close() {
      server.close();
      [...connections].forEach(end);
    },
  };
}
