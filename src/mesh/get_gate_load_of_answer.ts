import type { GateLoad } from "../balancing/gate_load.ts";
import { getGateLoad } from "./get_gate_load.ts";
import type { MeshNode } from "./mesh_node.ts";

const decimalFactor = 10;

/**
 * Returns the load of this VM's backend server for the reply with an answer,
 * with its speed: this node sees all of its answers, others only a few.
 */
export function getGateLoadOfAnswer(node: MeshNode, route: string): GateLoad {
  const load = getGateLoad(node);
  const milliseconds = node.gate.serviceMillisecondsByRoute.get(route);
  if (milliseconds === undefined) return load;
  const rounded = Math.round(milliseconds * decimalFactor) / decimalFactor;
  return { ...load, routeService: { route, milliseconds: rounded } };
}
