import type { NetworkAddress } from "../runtime/network_address.ts";

/** A backend server whose node has a ledger of keys. */
export interface LedgerServer {
  /** Name of the backend server. */
  readonly name: string;
  readonly vm: string;
  /** The address at which the node beside it listens for other nodes. */
  readonly nodeAddress: NetworkAddress;
}
