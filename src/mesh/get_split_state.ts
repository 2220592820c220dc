import type { SplitState } from "../routing/split_state.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the credits of a route's targets, creating them at first use. */
export function getSplitState(node: MeshNode, route: string): SplitState {
  const known = node.splits.get(route);
  if (known !== undefined) return known;
  const created: SplitState = new Map();
  node.splits.set(route, created);
  return created;
}
