import type { SourceBounds } from "../source/source_bounds.ts";
import { hasOrganisations } from "./has_organisations.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the bounds that a node's reads of the source have to keep. Without
 * organisations no key can be withdrawn, and that bound does not apply.
 */
export function getSourceBounds(
  node: Pick<MeshNode, "settings" | "view">,
): SourceBounds {
  const { sourceBounds } = node.settings;
  if (hasOrganisations(node)) return sourceBounds;
  const { withdrawalMilliseconds: _, ...otherBounds } = sourceBounds;
  return otherBounds;
}
