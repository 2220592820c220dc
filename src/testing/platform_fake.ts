import type { PlatformClient } from "../platform/platform_client.ts";
import type { VmEntry } from "../platform/vm_entry.ts";

/** A platform in memory, whose configuration, VM list and failures a test sets. */
export interface PlatformFake {
  /** Returns the client of the node on a VM. */
  createClient(vm: string): PlatformClient;
  /** Publishes a text under the next revision and responds to pending watches. */
  publish(text: string): void;
  /** Sets the list of VMs. */
  setVms(vms: readonly VmEntry[]): void;
  /** While the platform is down, every request fails, pending watches included. */
  setDown(isDown: boolean): void;
  /** Makes the platform unreachable for the nodes of these VMs, and reachable for all others. */
  setDisconnectedVms(vms: readonly string[]): void;
  /** Returns the number of requests so far; a watch counts as one. */
  getReadCount(): number;
}
