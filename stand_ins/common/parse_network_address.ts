import type { NetworkAddress } from "../../src/runtime/network_address.ts";

const portSeparator = ":";

/** Returns host and port of an address such as `127.0.0.1:7001`. */
export function parseNetworkAddress(text: string): NetworkAddress {
  const separatorIndex = text.lastIndexOf(portSeparator);
  return {
    host: text.slice(0, separatorIndex),
    port: Number(text.slice(separatorIndex + 1)),
  };
}
