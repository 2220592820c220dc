import { RefusalReason } from "./refusal_reason.ts";
import type { Settlement } from "./settlement.ts";

/**
 * Returns why a node cannot accept an attempt, regardless of its key and of
 * free slots; undefined if it can.
 */
export function getDispatchRefusalReason(
  node: {
    readonly hasSnapshot: boolean;
    /** Whether the snapshot in force contains the call's backend server. */
    readonly isRegistered: boolean;
    readonly confirmingView: boolean;
    readonly draining: boolean;
    /** Name of the backend server beside the node. */
    readonly ownBackendServer: string | undefined;
  },
  call: {
    readonly backendServer: string;
    /** The recorded outcome or fence of the attempt, if any. */
    readonly settlement: Settlement | undefined;
  },
): RefusalReason | undefined {
  if (!node.hasSnapshot) {
    return RefusalReason.NodeStarting;
  }
  if (node.confirmingView) {
    return RefusalReason.ConfirmingView;
  }
  if (node.draining) {
    return RefusalReason.NodeDraining;
  }
  if (!node.isRegistered || call.backendServer !== node.ownBackendServer) {
    return RefusalReason.BackendServerUnknown;
  }
  return call.settlement === undefined ? undefined : RefusalReason.Fenced;
}
