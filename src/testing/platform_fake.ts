import type { PlatformClient } from "../platform/platform_client.ts";
import type { VmEntry } from "../platform/vm_entry.ts";

/** A platform in one process, whose answers a script sets. */
export interface PlatformFake {
  /** Returns the client of the node on a VM. */
  createClient(vm: string): PlatformClient;
  /** Publishes a text under the next revision; watches that wait are answered. */
  publish(text: string): void;
  /** Sets what the list of VMs shows. */
  setVms(vms: readonly VmEntry[]): void;
  /** While down, every request fails, waiting watches too. */
  setDown(isDown: boolean): void;
  /** Cuts the nodes of these VMs off, and no others. */
  setCutOff(vms: readonly string[]): void;
  /** Requests so far, a watch as one. */
  getReads(): number;
}
