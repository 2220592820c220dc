import type { Server } from "node:net";

/** Returns the port on which a server listens; 0 if it does not listen. */
export function getPort(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}
