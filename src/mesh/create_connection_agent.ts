import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Keeps connections for the next request. Bytes that arrive while a
 * connection is idle belong to no request, so they end the connection.
 */
class ConnectionAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    const kept = (super.keepSocketAlive as (socket: Socket) => unknown).call(
      this,
      socket,
    );
    socket.on("data", destroyConnection);
    return kept !== false;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", destroyConnection);
    super.reuseSocket(socket, request);
  }
}

function destroyConnection(this: Socket): void {
  this.destroy();
}

/** Creates an agent whose idle connections are closed after a span in milliseconds. */
export function createConnectionAgent(idleMilliseconds: number): Agent {
  return new ConnectionAgent({
    keepAlive: true,
    timeout: idleMilliseconds,
    scheduling: "lifo",
  });
}
