import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/**
 * Keeps connections open for later requests. Data received on an idle
 * connection belongs to no request, so the connection is closed.
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

/**
 * Creates an agent that closes idle connections after a timeout in
 * milliseconds; undefined: after none.
 */
export function createConnectionAgent(
  idleMilliseconds: number | undefined,
  options: { readonly connectionsMaximum?: number } = {},
): Agent {
  return new ConnectionAgent({
    keepAlive: true,
    scheduling: "lifo",
    maxSockets: options.connectionsMaximum ?? Number.POSITIVE_INFINITY,
    ...(idleMilliseconds === undefined ? {} : { timeout: idleMilliseconds }),
  });
}
