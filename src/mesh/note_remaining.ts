import type { MeshNode } from "./mesh_node.ts";

/**
 * Takes over how long a caller of a route waits, infinity where it does not
 * say, and returns the longest such time in milliseconds.
 */
export function noteRemaining(
  node: MeshNode,
  options: { readonly route: string; readonly remainingMilliseconds: number },
): number {
  const { route, remainingMilliseconds } = options;
  if (!Number.isFinite(remainingMilliseconds)) return Number.POSITIVE_INFINITY;
  const known = node.longestRemaining.get(route) ?? 0;
  const longest = Math.max(known, remainingMilliseconds);
  node.longestRemaining.set(route, longest);
  return longest;
}
