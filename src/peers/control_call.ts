import type { NetworkAddress } from "../runtime/network_address.ts";

/** One JSON-RPC request to another node. */
export interface ControlCall {
  readonly address: NetworkAddress;
  readonly method: string;
  readonly parameters: unknown;
  /** When the caller stops waiting, in milliseconds since the Unix epoch. */
  readonly deadline: number;
  /**
   * Whether to open a new connection for this request alone, so that a
   * connection that has gone silent cannot swallow it.
   */
  readonly freshConnection: boolean;
}
