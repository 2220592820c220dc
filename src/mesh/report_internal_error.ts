import { CallEventKind } from "./call_event_kind.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Reports an unexpected error that ended a call; the node continues. */
export function reportInternalError(
  node: MeshNode,
  options: { readonly callIdentifier: string; readonly error: unknown },
): void {
  const { callIdentifier, error } = options;
  node.report.call({
    kind: CallEventKind.InternalError,
    call: callIdentifier,
    reason: error instanceof Error ? error.message : String(error),
  });
}
