import { RefusalReason } from "../calls/refusal_reason.ts";
import type { CallRoute } from "../routing/call_route.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Follows each name (`: `) and each value (a line end). */
const separatorBytes = 2;

/**
 * Returns the reason to refuse a call before its body is read; undefined if
 * there is none.
 */
export function getEarlyRefusalReason(
  node: MeshNode,
  options: {
    readonly route: CallRoute | undefined;
    readonly receivedAt: number;
    /** Alternating names and values of the request's headers. */
    readonly rawHeaders: readonly string[];
  },
): RefusalReason | undefined {
  if (options.receivedAt >= node.refusesCallersAt) {
    return RefusalReason.NodeDraining;
  }
  if (node.isLearningWithdrawals) return RefusalReason.NodeStarting;
  const { rules } = node.view;
  const headerBytesMaximum = rules?.limits.headerBytesMaximum ??
    Number.POSITIVE_INFINITY;
  if (countHeaderBytes(options.rawHeaders) > headerBytesMaximum) {
    return RefusalReason.HeaderTooLarge;
  }
  if (options.route !== undefined) return undefined;
  // Before the first rules, a missing route does not mean that the path is
  // unknown.
  return rules === undefined
    ? RefusalReason.NodeStarting
    : RefusalReason.NoRoute;
}

/**
 * Returns the size of the headers on the wire, with separators and line ends.
 */
function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce(
    (sum, text) => sum + text.length + separatorBytes,
    0,
  );
}
