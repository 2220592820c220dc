import type { NetworkAddress } from "../runtime/network_address.ts";

/** A JSON-RPC request to another node. */
export interface ControlCall {
  readonly address: NetworkAddress;
  readonly method: string;
  readonly parameters: unknown;
  /**
   * When this node stops waiting for the response, in milliseconds since the
   * Unix epoch.
   */
  readonly deadline: number;
  /**
   * Whether to open a new connection for this request alone, so that the
   * request is not lost on a silently broken connection.
   */
  readonly freshConnection: boolean;
}
