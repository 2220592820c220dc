import type { MeshNode } from "./mesh_node.ts";

/**
 * Records the remaining time that a caller of a route sent, infinity if it sent
 * none. Returns the longest one so far, in milliseconds.
 */
export function recordRemainingMilliseconds(
  node: MeshNode,
  options: { readonly route: string; readonly remainingMilliseconds: number },
): number {
  const { route, remainingMilliseconds } = options;
  if (!Number.isFinite(remainingMilliseconds)) return Number.POSITIVE_INFINITY;
  const previousLongest = node.longestRemainingMilliseconds.get(route) ?? 0;
  const longest = Math.max(previousLongest, remainingMilliseconds);
  node.longestRemainingMilliseconds.set(route, longest);
  return longest;
}
