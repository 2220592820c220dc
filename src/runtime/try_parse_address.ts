import { isIP } from "node:net";
import type { NetworkAddress } from "./network_address.ts";

const addressPattern = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;
const portMaximum = 65_535;

/**
 * Parses `HOST:PORT`, where `HOST` is an IP address; IPv6 addresses are put in
 * square brackets. Returns undefined for any other text.
 */
export function tryParseAddress(text: string): NetworkAddress | undefined {
  const match = addressPattern.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || isIP(host) === 0 || port > portMaximum) {
    return undefined;
  }
  return { host, port };
}
