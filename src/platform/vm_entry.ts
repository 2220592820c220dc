import type { NetworkAddress } from "../runtime/network_address.ts";
import type { VmState } from "./vm_state.ts";

/** A VM of the platform's list. */
export interface VmEntry {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  /** Where the node on the VM listens for other nodes. */
  readonly nodeAddress: NetworkAddress;
  readonly state: VmState;
}
