import { Pool } from "undici";
import type { NetworkAddress } from "../../runtime/network_address.ts";

/** Timeout for opening a connection; a call that exceeds it has not been sent. */
const connectTimeoutMilliseconds = 500;
/** Shorter than the usual idle timeout of servers, so that they rarely close a connection that is being reused. */
const keepAliveTimeoutMilliseconds = 4000;

/** Creates a connection pool without response timeouts, since each call has a deadline. */
export function createCallPool(
  address: NetworkAddress,
  options: { readonly connections: number | null },
): Pool {
  return new Pool(`http://${address.host}:${address.port}`, {
    connections: options.connections,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: keepAliveTimeoutMilliseconds,
    keepAliveMaxTimeout: keepAliveTimeoutMilliseconds,
    connect: { timeout: connectTimeoutMilliseconds },
  });
}
