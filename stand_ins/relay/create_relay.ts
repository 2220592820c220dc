import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { Relay } from "./relay.ts";
import type { RelayMode } from "./relay_mode.ts";
import { relayModeSchema } from "./relay_mode_schema.ts";

interface RelayedConnection {
  readonly client: Socket;
  readonly target: Socket;
  /** Whether data is dropped in both directions, and the end of either side ignored. */
  silent: boolean;
}

/** Creates a relay that does not listen yet and forwards all data until its mode is set. */
export function createRelay(targetAddress: NetworkAddress): Relay {
  const connections = new Set<RelayedConnection>();
  let mode: RelayMode = relayModeSchema.parse({});

  const closeConnection = (connection: RelayedConnection) => {
    connections.delete(connection);
    connection.client.destroy();
    connection.target.destroy();
  };
  const resetConnection = (connection: RelayedConnection) => {
    connections.delete(connection);
    connection.client.resetAndDestroy();
    connection.target.resetAndDestroy();
  };
  const forwardData = (
    connection: RelayedConnection,
    from: Socket,
    to: Socket,
  ) => {
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
    from.on("error", () => connection.silent || closeConnection(connection));
    from.on("close", () => connection.silent || closeConnection(connection));
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
    forwardData(connection, client, target);
    forwardData(connection, target, client);
  });
  return {
    server,
    setMode(nextMode) {
      mode = nextMode;
      if (nextMode.openConnections === "cut") {
        [...connections].forEach(closeConnection);
      } else if (nextMode.openConnections === "reset") {
        [...connections].forEach(resetConnection);
      } else if (nextMode.openConnections === "silent") {
        connections.forEach((connection) => {
          connection.silent = true;
        });
      }
    },
    close() {
      server.close();
      [...connections].forEach(closeConnection);
    },
  };
}
