import { once } from "node:events";
import type { Server } from "node:net";
import type { NetworkAddress } from "../../runtime/network_address.ts";

const host = "127.0.0.1";

/** Binds a server to a free port of the loopback interface and returns its address. */
export async function listenOnLoopback(
  server: Server,
): Promise<NetworkAddress> {
  server.listen(0, host);
  await once(server, "listening");
  const address = server.address();
  return {
    host,
    port: typeof address === "object" && address !== null ? address.port : 0,
  };
}
