import type { Listener } from "../daemon/listener.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Keeps idle connections open for longer than the published limit, so that a
 * request sent within the limit does not reach a closing connection.
 */
const idleTimeoutFactor = 1.25;

/**
 * Applies the operators' timeouts for request heads and idle connections of
 * callers.
 */
export function applyCallerLimits(
  node: MeshNode,
  callers: Listener | undefined,
): void {
  const { rules } = node.view;
  if (rules === undefined) return;
  const { headerMilliseconds, idleMilliseconds } = rules.limits;
  callers?.setLimits({
    headerMilliseconds,
    idleMilliseconds: idleMilliseconds * idleTimeoutFactor,
  });
}
