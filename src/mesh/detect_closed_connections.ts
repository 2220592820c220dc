import { setImmediate } from "node:timers/promises";
import { isLoopBehind } from "../runtime/is_loop_behind.ts";
import type { MeshNode } from "./mesh_node.ts";
import { maintenanceIntervalMilliseconds } from "./maintenance_interval_milliseconds.ts";

/** The end of a connection is read in the turn after its last request, and is told over the next ones. */
const closeTurns = 4;

/**
 * Lets the event loop see which connections have closed before a request goes
 * on. While the loop is behind, a request is read long after it came, and
 * just before the close that came after it; it would be sent on for a caller
 * that has left.
 */
export async function detectClosedConnections(node: MeshNode): Promise<void> {
  const now = node.clock.now();
  const spanMilliseconds = maintenanceIntervalMilliseconds;
  if (!isLoopBehind(node.loopLag, { spanMilliseconds, now })) return;
  // A loop, since each turn comes after the one before.
  for (let turn = 0; turn < closeTurns; turn += 1) await setImmediate();
}
