import type { MeshNode } from "./mesh_node.ts";

/** Limit before the first rules. */
const defaultBytesMaximum = 1_048_576;

/** Returns the maximum size of a request body, which operators publish. */
export function getBodyBytesMaximum(node: MeshNode): number {
  return node.view.rules?.limits.bodyBytesMaximum ?? defaultBytesMaximum;
}
