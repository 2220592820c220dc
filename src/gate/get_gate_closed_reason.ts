import { match } from "ts-pattern";
import { HolderKind } from "../address_holder/holder_kind.ts";
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
  const { record, departure, holder } = status;
  const isDeparting = departure !== undefined &&
    departure.identifier === (record?.entry.identifier ?? departure.identifier);
  if (isDeparting) return RefusalReason.BackendServerLeaving;
  if (!mayBeNamed(holder, { isRegistered: record !== undefined })) {
    return RefusalReason.BackendServerUnknown;
  }
  if (record === undefined) return undefined;
  if (record.entry.availability === BackendServerAvailability.Draining) {
    return RefusalReason.BackendServerDraining;
  }
  return isRemovalConfirmed(record, now)
    ? RefusalReason.BackendServerLeaving
    : undefined;
}

/** Whether calls may name a backend server of the node's service. */
function mayBeNamed(
  holder: HolderKind,
  { isRegistered }: { readonly isRegistered: boolean },
): boolean {
  return match(holder)
    .with(HolderKind.Own, () => true)
    // Another backend server rejects a call that names the registered one.
    .with(HolderKind.Unseen, () => isRegistered)
    .with(HolderKind.Foreign, HolderKind.Unlisted, () => false)
    .exhaustive();
}
