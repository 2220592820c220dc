import { RefusalReason } from "./refusal_reason.ts";

const reasons: ReadonlySet<RefusalReason> = new Set([
  RefusalReason.NodeStarting,
  RefusalReason.ConfirmingView,
  RefusalReason.NodeDraining,
  RefusalReason.BackendServerDraining,
  RefusalReason.BackendServerLeaving,
  RefusalReason.BackendServerDown,
  RefusalReason.BackendServerUnknown,
  RefusalReason.ZoneTakenOut,
]);

/**
 * Returns whether a refusal with this reason applies to all new calls, not just
 * to the refused one.
 */
export function isWorkRefused(reason: RefusalReason): boolean {
  return reasons.has(reason);
}
