import { forgetVanished } from "../register/forget_vanished.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Drops what is known of backend servers that left the register long ago. */
export function forgetGoneServers(node: MeshNode): void {
  const { gateViews, view: { register } } = node;
  forgetVanished(register, node.clock.now());
  if (gateViews.size <= register.size) return;
  Array.from(gateViews.keys())
    .filter((identifier) => !register.has(identifier))
    .forEach((identifier) => gateViews.delete(identifier));
}
