import type { NetworkAddress } from "../../src/runtime/network_address.ts";

const portSeparator = ":";

/** Returns the host and port of a text such as `127.0.0.1:7001`. */
export function parseNetworkAddress(text: string): NetworkAddress {
  const at = text.lastIndexOf(portSeparator);
  return { host: text.slice(0, at), port: Number(text.slice(at + 1)) };
}
