import type { NetworkAddress } from "./network_address.ts";

/** Returns `127.0.0.1:7001`, or `[::1]:7001` for an IP number of version 6. */
export function formatNetworkAddress(address: NetworkAddress): string {
  return address.host.includes(":")
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
