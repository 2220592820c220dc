import { once } from "node:events";
import { createServer } from "node:net";
import { loopback } from "./loopback.ts";

const lowestPort = 12_000;
const highestPort = 32_000;

/** Resolves with free ports on loopback, below the range from which the system assigns ports to outgoing connections. */
export async function findFreePorts(
  count: number,
): Promise<readonly number[]> {
  const candidates = new Set(
    Array.from({ length: count * 2 }, drawPort),
  );
  const free = await Promise.all([...candidates].map(tryBindPort));
  const ports = free.filter((port) => port !== undefined).slice(0, count);
  return ports.length === count ? ports : findFreePorts(count);
}

function drawPort(): number {
  return lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));
}

async function tryBindPort(port: number): Promise<number | undefined> {
  const server = createServer();
  try {
    server.listen(port, loopback);
    await once(server, "listening");
    server.close();
    await once(server, "close");
    return port;
  } catch {
    return undefined;
  }
}
