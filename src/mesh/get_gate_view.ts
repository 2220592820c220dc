import { createGateView } from "../balancing/create_gate_view.ts";
import type { GateView } from "../balancing/gate_view.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the view of the node beside a backend server, creating it at first use. */
export function getGateView(node: MeshNode, identifier: string): GateView {
  const known = node.gateViews.get(identifier);
  if (known !== undefined) return known;
  const created = createGateView();
  node.gateViews.set(identifier, created);
  return created;
}
