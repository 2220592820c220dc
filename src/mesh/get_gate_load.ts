import { getStatedCallsPerSecond } from "../gate/get_stated_calls_per_second.ts";
import type { GateLoad } from "../balancing/gate_load.ts";
import { isCold } from "../gate/is_cold.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the load of this VM's backend server for replies to other nodes. */
export function getGateLoad(node: MeshNode): GateLoad {
  const { gate } = node;
  const callsPerSecondLimit = getStatedCallsPerSecond(gate.statedLimit);
  return {
    running: gate.running.size,
    queued: gate.queue.length,
    slots: gate.slots,
    cold: isCold(gate, node.clock.now()),
    ...(gate.departure === undefined ? {} : { departure: gate.departure }),
    ...(callsPerSecondLimit === undefined ? {} : { callsPerSecondLimit }),
  };
}
