import type { Listener } from "../daemon/listener.ts";
import type { MeshNode } from "./mesh_node.ts";

/** A request that a caller sends within the limit must not meet a connection that closes. */
const idleTimeoutFactor = 1.25;

/** Puts in force how long the operators let callers take and stay idle. */
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
