import { once } from "node:events";
import { createServer } from "node:net";
import process from "node:process";

/** Below the ephemeral range, from which the system assigns ports to outgoing connections and to listeners on port 0. */
const lowestPort = 18_000;
/** Test processes that run at the same time look for ports in different ranges, since a port that was free may be taken before it is bound. */
const portsPerProcess = 200;
const processRanges = 60;

/** Finds the lowest `count` ports, from `firstPort` on or in the range of this process, that are free on every host. */
export async function findPortsFreeOnHosts(
  hosts: readonly string[],
  options: { readonly count: number; readonly firstPort?: number },
): Promise<readonly number[]> {
  const { count, firstPort = getFirstPort() } = options;
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

function getFirstPort(): number {
  return lowestPort + process.pid % processRanges * portsPerProcess;
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
