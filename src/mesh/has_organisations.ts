import type { MeshNode } from "./mesh_node.ts";

/** Returns whether the rules in force contain organisations, so that calls need keys. */
export function hasOrganisations({ view }: Pick<MeshNode, "view">): boolean {
  return (view.rules?.organisations.size ?? 0) > 0;
}
