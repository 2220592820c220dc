import { getRulesAgeMilliseconds } from "./get_rules_age_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns the age of the rules that a node states to its neighbours, in
 * milliseconds; undefined if none depends on it or the rules were never
 * confirmed.
 */
export function getStatedRulesAgeMilliseconds(
  node: MeshNode,
): number | undefined {
  if (node.settings.sourceBounds.withdrawalMilliseconds === undefined) {
    return undefined;
  }
  const ageMilliseconds = getRulesAgeMilliseconds(node);
  return Number.isFinite(ageMilliseconds) ? ageMilliseconds : undefined;
}
