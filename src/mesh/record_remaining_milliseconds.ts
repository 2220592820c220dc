import type { MeshNode } from "./mesh_node.ts";

/**
 * Takes over how long a caller of a route waits, infinity where it does not
 * say, and returns the longest such time in milliseconds.
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
