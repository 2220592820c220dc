import type { NetworkAddress } from "../runtime/network_address.ts";
import type { VmState } from "./vm_state.ts";

/** An entry of the platform's VM list. */
export interface VmEntry {
  readonly vm: string;
  readonly zone: string;
  readonly region: string;
  /** The address on which the VM's node listens for other nodes. */
  readonly nodeAddress: NetworkAddress;
  readonly state: VmState;
}
