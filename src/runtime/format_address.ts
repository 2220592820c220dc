import type { NetworkAddress } from "./network_address.ts";

/** Returns `HOST:PORT`, the form that settings and registers use. */
export function formatAddress(address: NetworkAddress): string {
  return address.host.includes(":")
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
