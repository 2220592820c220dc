import { createGateView } from "../balancing/create_gate_view.ts";
import type { GateView } from "../balancing/gate_view.ts";
import { getOrCreate } from "../collections/get_or_create.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the state kept for the node beside a backend server; creates it on
 * first use.
 */
export function getGateView(node: MeshNode, identifier: string): GateView {
  return getOrCreate(node.gateViews, identifier, { create: createGateView });
}
