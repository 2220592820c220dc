import type { Pool } from "undici";
import type { NetworkAddress } from "../../runtime/network_address.ts";

/** Connection pools to other nodes, keyed by address. */
export interface CallPools {
  get(address: NetworkAddress): Pool;
  /** Discards the pool of an address so that new calls open new connections; calls in progress keep theirs. */
  renew(address: NetworkAddress): void;
  /** Creates the pools of these nodes, and closes all others once their last call has ended. */
  keepOnly(addresses: readonly NetworkAddress[]): void;
  /** Closes every connection immediately. */
  destroy(): Promise<void>;
}
