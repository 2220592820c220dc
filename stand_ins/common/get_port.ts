import type { Server } from "node:net";

/** Returns the port that a server listens on; 0 where it does not listen. */
export function getPort(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}
