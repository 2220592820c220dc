import { getOrCreate } from "../collections/get_or_create.ts";
import type { SplitState } from "../routing/split_state.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the credits of a route's targets; creates them on first use. */
export function getSplitState(node: MeshNode, route: string): SplitState {
  return getOrCreate(node.splitStates, route, { create: () => new Map() });
}
