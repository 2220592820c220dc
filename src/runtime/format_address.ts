import type { NetworkAddress } from "./network_address.ts";

/** Returns `HOST:PORT`, the form of addresses in settings and registers; an IPv6 host is put in square brackets. */
export function formatAddress(address: NetworkAddress): string {
  return address.host.includes(":")
    ? `[${address.host}]:${address.port}`
    : `${address.host}:${address.port}`;
}
