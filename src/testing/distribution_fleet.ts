import type { NodeState } from "../peers/node_state.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { ControlNetwork } from "./control_network.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { PlatformFake } from "./platform_fake.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** A handful of nodes with the distribution alone, in one process and in virtual time. */
export interface DistributionFleet {
  readonly time: VirtualTime;
  readonly network: ControlNetwork;
  readonly platform: PlatformFake;
  /** Starts the node of a VM, again with empty memory where it ran before. */
  start(vm: string): FleetNode;
  /** Ends the node of a VM without a word. */
  kill(vm: string): void;
  /** Sets what a node says of itself; undefined for starting or serving, as it is. */
  setState(vm: string, state: NodeState | undefined): void;
  getNode(vm: string): FleetNode | undefined;
  /** Returns the nodes that run. */
  getNodes(): readonly FleetNode[];
  /** Returns the platform's entries of every VM, whether or not its node runs. */
  getVms(): readonly VmEntry[];
  /** Lets time pass, in milliseconds. */
  advanceBy(milliseconds: number): Promise<void>;
}
