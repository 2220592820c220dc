import { createGateView } from "../balancing/create_gate_view.ts";
import type { GateView } from "../balancing/gate_view.ts";
import { getOrCreate } from "../collections/get_or_create.ts";
import { getServiceLoad } from "./get_service_load.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns this node's view of the gate of a backend server; creates it on first
 * use.
 */
export function getGateView(node: MeshNode, identifier: string): GateView {
  return getOrCreate(node.gateViews, identifier, {
    create: () => {
      const service = node.view.register.get(identifier)?.entry.service;
      return service === undefined
        ? createGateView()
        : createGateView(getServiceLoad(node, service));
    },
  });
}
