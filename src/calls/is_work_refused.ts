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

/** Tells whether a refusal with this reason would meet the next call too. */
export function isWorkRefused(reason: RefusalReason): boolean {
  return reasons.has(reason);
}
