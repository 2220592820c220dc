import type { MeshNode } from "./mesh_node.ts";

/** Drops what was seen of backend servers that the register has forgotten. */
export function removeUnregisteredGateViews(node: MeshNode): void {
  const { gateViews, view: { register } } = node;
  if (gateViews.size <= register.size) return;
  Array.from(gateViews.keys())
    .filter((identifier) => !register.has(identifier))
    .forEach((identifier) => gateViews.delete(identifier));
}
