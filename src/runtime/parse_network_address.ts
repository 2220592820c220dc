import type { NetworkAddress } from "./network_address.ts";

const maxPort = 65_535;
const pattern = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;

/** Parses `127.0.0.1:7001` or `[::1]:7001`; undefined where `text` has another form. */
export function parseNetworkAddress(text: string): NetworkAddress | undefined {
  const found = pattern.exec(text);
  const host = found?.[1] ?? found?.[2];
  const port = Number(found?.[3]);
  return host !== undefined && port >= 1 && port <= maxPort
    ? { host, port }
    : undefined;
}
