import type { NetworkAddress } from "../runtime/network_address.ts";

/** A backend server whose node keeps a ledger of keys. */
export interface LedgerServer {
  /** Name of the backend server. */
  readonly name: string;
  readonly vm: string;
  /** Where the node beside it listens for other nodes. */
  readonly nodeAddress: NetworkAddress;
}
