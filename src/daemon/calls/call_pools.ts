import type { Pool } from "undici";
import type { NetworkAddress } from "../../runtime/network_address.ts";

/** Connection pools to other nodes, by address. */
export interface CallPools {
  get(address: NetworkAddress): Pool;
  /** Gives new calls new connections; calls under way keep theirs. */
  renew(address: NetworkAddress): void;
  /** Creates the pools of these nodes, and ends all others once their last call has ended. */
  keepOnly(addresses: readonly NetworkAddress[]): void;
  /** Closes every connection at once. */
  destroy(): Promise<void>;
}
