import { isIP } from "node:net";
import type { NetworkAddress } from "./network_address.ts";

const addressPattern = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/;
const portMaximum = 65_535;

/** Returns the address that `HOST:PORT` names, or undefined where the text is none. Hosts are IP numbers. */
export function tryParseAddress(text: string): NetworkAddress | undefined {
  const found = addressPattern.exec(text);
  const host = found?.[1] ?? found?.[2];
  const port = Number(found?.[3]);
  if (host === undefined || isIP(host) === 0 || port > portMaximum) {
    return undefined;
  }
  return { host, port };
}
