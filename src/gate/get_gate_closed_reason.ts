import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isRemovalConfirmed } from "../register/is_removal_confirmed.ts";
import type { OwnServerStatus } from "./own_server_status.ts";

/** Returns the reason for which the backend server gets no new calls, or undefined if it may get them. */
export function getGateClosedReason(
  status: OwnServerStatus,
  now: number,
): RefusalReason | undefined {
  if (status.stopping) return RefusalReason.NodeDraining;
  if (status.isLearningWithdrawals) return RefusalReason.NodeStarting;
  if (status.zoneTakenOut) return RefusalReason.ZoneTakenOut;
  const { record, departure } = status;
  const isDeparting = departure !== undefined &&
    departure.identifier === (record?.entry.identifier ?? departure.identifier);
  if (isDeparting) return RefusalReason.BackendServerLeaving;
  if (record === undefined) {
    return status.probedIdentifier === undefined
      ? RefusalReason.BackendServerUnknown
      : undefined;
  }
  if (record.entry.availability === BackendServerAvailability.Draining) {
    return RefusalReason.BackendServerDraining;
  }
  return isRemovalConfirmed(record, now)
    ? RefusalReason.BackendServerLeaving
    : undefined;
}
