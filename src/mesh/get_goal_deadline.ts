import type { CallRoute } from "../routing/call_route.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Returns until when an answer has its full worth. The goal counts from the
 * caller's first attempt: a caller that comes back has less time left than
 * callers of the route have at first, and the difference is what it waited
 * already.
 */
export function getGoalDeadline(
  node: MeshNode,
  options: {
    readonly route: CallRoute;
    readonly remainingMilliseconds: number | undefined;
    readonly now: number;
  },
): number {
  const { route, remainingMilliseconds, now } = options;
  const goalDeadline = now + route.goalMilliseconds;
  if (remainingMilliseconds === undefined) return goalDeadline;
  const longest = Math.max(
    node.longestRemaining.get(route.name) ?? 0,
    remainingMilliseconds,
  );
  node.longestRemaining.set(route.name, longest);
  return goalDeadline - (longest - remainingMilliseconds);
}
