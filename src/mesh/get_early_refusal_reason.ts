import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallRoute } from "../routing/call_route.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Follows each name (`: `) and each value (a line end). */
const separatorBytes = 2;

/** Returns why a call is refused before its body is read; undefined where it is not. */
export function getEarlyRefusalReason(
  node: MeshNode,
  options: {
    readonly route: CallRoute | undefined;
    readonly receivedAt: number;
    /** Names and values of the request's headers in turn. */
    readonly rawHeaders: readonly string[];
  },
): RefusalReason | undefined {
  if (options.receivedAt >= node.callersRefusedAt) {
    return RefusalReason.NodeDraining;
  }
  const { rules } = node.view;
  const headerBytesMaximum = rules?.limits.headerBytesMaximum ??
    Number.POSITIVE_INFINITY;
  if (countHeaderBytes(options.rawHeaders) > headerBytesMaximum) {
    return RefusalReason.HeaderTooLarge;
  }
  if (options.route !== undefined) return undefined;
  // Without rules a missing route says nothing.
  return rules === undefined
    ? RefusalReason.NodeStarting
    : RefusalReason.NoRoute;
}

/** Counts what the headers take on the wire, with separators and line ends. */
function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + separatorBytes,
    0,
  );
}
