import { setImmediate } from "node:timers/promises";
import { isLoopBehind } from "../runtime/is_loop_behind.ts";
import { maintenanceIntervalMilliseconds } from "./maintenance_interval_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Lets the event loop process closed connections before a request is forwarded.
 *
 * While the event loop is behind, a request is read long after it arrived, and
 * just before the close that followed it. Without this delay it would be
 * forwarded for a caller that has disconnected.
 *
 * @param turns Number of turns of the event loop. The close of a connection is
 * read in the turn after its last request, so a request that was just read needs
 * two; one turn is enough for what arrived before this turn.
 */
export async function detectClosedConnections(
  node: MeshNode,
  { turns }: { readonly turns: number },
): Promise<void> {
  const now = node.clock.now();
  const intervalMilliseconds = maintenanceIntervalMilliseconds;
  if (!isLoopBehind(node.loopLag, { intervalMilliseconds, now })) return;
  // Sequential, since each turn follows the one before.
  for (let turn = 0; turn < turns; turn += 1) await setImmediate();
}
