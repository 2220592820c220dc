import type { MeshNode } from "./mesh_node.ts";

/** Least time between two checks that doubts ask for. */
const earlyProbeIntervalMilliseconds = 200;

/** Has the backend server checked soon, since a connection to it ended oddly. */
export function scheduleEarlyProbe(node: MeshNode): void {
  const { serverProbe } = node;
  const earliest = Math.max(
    node.clock.now(),
    serverProbe.probedAt + earlyProbeIntervalMilliseconds,
  );
  serverProbe.nextProbeAt = Math.min(serverProbe.nextProbeAt, earliest);
}
