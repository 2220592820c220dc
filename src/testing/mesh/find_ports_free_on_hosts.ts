import { once } from "node:events";
import { createServer } from "node:net";

/** Below the ephemeral range, from which the system assigns ports to outgoing connections and to listeners on port 0. */
const lowestPort = 18_000;

/** Finds the lowest `count` ports, from `firstPort` on, that are free on every host. */
export async function findPortsFreeOnHosts(
  hosts: readonly string[],
  options: { readonly count: number; readonly firstPort?: number },
): Promise<readonly number[]> {
  const { count, firstPort = lowestPort } = options;
  if (count === 0) return [];
  const isFree = (await Promise.all(
    hosts.map((host) => canListen(host, firstPort)),
  )).every((free) => free);
  const found = isFree ? [firstPort] : [];
  const others = await findPortsFreeOnHosts(hosts, {
    count: count - found.length,
    firstPort: firstPort + 1,
  });
  return [...found, ...others];
}

async function canListen(host: string, port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}
