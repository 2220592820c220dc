import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallRoute } from "../routing/call_route.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns why a call is refused before its body is read; undefined where it is not. */
export function getEarlyRefusalReason(
  node: MeshNode,
  options: {
    readonly route: CallRoute | undefined;
    readonly receivedAt: number;
  },
): RefusalReason | undefined {
  if (options.receivedAt >= node.callersEndAt) {
    return RefusalReason.NodeDraining;
  }
  if (options.route !== undefined) return undefined;
  // Without rules a missing route says nothing.
  return node.view.rules === undefined
    ? RefusalReason.NodeStarting
    : RefusalReason.NoRoute;
}
