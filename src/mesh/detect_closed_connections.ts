import type { Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { isLoopBehind } from "../runtime/is_loop_behind.ts";
import { maintenanceIntervalMilliseconds } from "./maintenance_interval_milliseconds.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Lets the event loop process closed connections before a request is forwarded.
 *
 * A request may be read long after it arrived, and just before the close that
 * followed it: while the event loop is behind, and on a new connection. Each
 * turn of the event loop accepts one connection of a listener, so on a busy node
 * a connection with its request and its close may wait for many short turns.
 * Without this delay such a request would be forwarded for a caller that has
 * disconnected.
 *
 * @param options `turns` is the number of turns of the event loop. The close of
 * a connection is read in the turn after its last request, so a request that was
 * just read needs two; one turn is enough for what arrived before this turn.
 * `connection` is the one on which the request arrived.
 */
export async function detectClosedConnections(
  node: MeshNode,
  options: { readonly turns: number; readonly connection?: Socket },
): Promise<void> {
  const { turns, connection } = options;
  const isNew = connection !== undefined &&
    !node.knownConnections.has(connection);
  if (isNew) node.knownConnections.add(connection);
  const now = node.clock.now();
  const intervalMilliseconds = maintenanceIntervalMilliseconds;
  const isBehind = isLoopBehind(node.loopLag, { intervalMilliseconds, now });
  if (!isNew && !isBehind) return;
  // Sequential, since each turn follows the one before.
  for (let turn = 0; turn < turns; turn += 1) await setImmediate();
}
