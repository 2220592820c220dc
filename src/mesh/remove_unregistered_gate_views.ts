import type { MeshNode } from "./mesh_node.ts";

/**
 * Removes the gate views of backend servers that are no longer in the register.
 */
export function removeUnregisteredGateViews(node: MeshNode): void {
  const { gateViews, view: { register } } = node;
  if (gateViews.size <= register.size) return;
  Array.from(gateViews.keys())
    .filter((identifier) => !register.has(identifier))
    .forEach((identifier) => gateViews.delete(identifier));
}
