import type { GateLoad } from "../../balancing/gate_load.ts";
import type { ModelledServer } from "./modelled_server.ts";

/** Returns the load that the node beside a backend server reports. Calls that wait count as running in the state of its gate. */
export function getModelledLoad({ gate }: ModelledServer): GateLoad {
  const { slots, running: { size } } = gate;
  return {
    running: Math.min(size, slots),
    queued: Math.max(0, size - slots),
    slots,
    cold: false,
  };
}
