import { Pool } from "undici";
import type { NetworkAddress } from "../../runtime/network_address.ts";

/** A call whose connection does not open in this time is known not to have been sent. */
const connectMilliseconds = 500;
/** Shorter than the usual idle bound of servers, so that they seldom close a connection in use. */
const idleMilliseconds = 4000;

/** Creates a pool without time limits of its own: the calls carry deadlines. */
export function createCallPool(
  address: NetworkAddress,
  options: { readonly connections: number | null },
): Pool {
  return new Pool(`http://${address.host}:${address.port}`, {
    connections: options.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: idleMilliseconds,
    keepAliveMaxTimeout: idleMilliseconds,
    connect: { timeout: connectMilliseconds },
  });
}
