import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallProgress } from "./call_progress.ts";
import type { CallResult } from "./call_result.ts";
import { createCallRefusal } from "./create_call_refusal.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Ends a call at a stopping node that may make no further offer: its answer could
 * come after the end of the process. Returns undefined if the call may be
 * offered.
 */
export function tryRefuseAtStop(
  node: MeshNode,
  progress: CallProgress,
): CallResult | undefined {
  if (node.clock.now() < node.offersEndAt) return undefined;
  progress.lastReason = RefusalReason.NodeDraining;
  return progress.fallback ?? createCallRefusal(node, progress);
}
