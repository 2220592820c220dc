import type { MeshNode } from "./mesh_node.ts";

/** Least time between two checks that doubts ask for. */
const doubtMilliseconds = 200;

/** Has the backend server checked soon, since a connection to it ended oddly. */
export function noteServerDoubt(node: MeshNode): void {
  const { serverWatch } = node;
  const soonest = Math.max(
    node.clock.now(),
    serverWatch.probedAt + doubtMilliseconds,
  );
  serverWatch.nextProbeAt = Math.min(serverWatch.nextProbeAt, soonest);
}
