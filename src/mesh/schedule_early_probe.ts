import type { MeshNode } from "./mesh_node.ts";

/** Minimum interval between early probes. */
const earlyProbeIntervalMilliseconds = 200;

/**
 * Schedules a probe of the backend server soon, after a connection to it ended
 * unexpectedly.
 */
export function scheduleEarlyProbe(node: MeshNode): void {
  const { serverProbe } = node;
  const earliest = Math.max(
    node.clock.now(),
    serverProbe.probedAt + earlyProbeIntervalMilliseconds,
  );
  serverProbe.nextProbeAt = Math.min(serverProbe.nextProbeAt, earliest);
}
