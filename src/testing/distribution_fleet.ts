import type { NodeState } from "../peers/node_state.ts";
import type { VmEntry } from "../platform/vm_entry.ts";
import type { ControlNetwork } from "./control_network.ts";
import type { FleetNode } from "./fleet_node.ts";
import type { PlatformFake } from "./platform_fake.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Several nodes that run only the distribution, in one process and in virtual time. */
export interface DistributionFleet {
  readonly time: VirtualTime;
  readonly network: ControlNetwork;
  readonly platform: PlatformFake;
  /** Starts the node of a VM without earlier state; a node that runs there is killed first. */
  start(vm: string): FleetNode;
  /** Kills the node of a VM: it sends nothing more, and its timers do not fire. */
  kill(vm: string): void;
  /** Sets the state that a node reports of itself; undefined for its actual one, starting or serving. */
  setState(vm: string, state: NodeState | undefined): void;
  /** Returns the running node of a VM. */
  getNode(vm: string): FleetNode | undefined;
  /** Returns the running nodes. */
  getNodes(): readonly FleetNode[];
  /** Returns the platform's entry of every VM, whether or not its node runs. */
  getVms(): readonly VmEntry[];
  /** Advances the virtual time, in milliseconds, and runs the timers that fall due. */
  advanceBy(milliseconds: number): Promise<void>;
}
