import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import { isGone } from "../register/is_gone.ts";
import type { OwnServerStanding } from "./own_server_standing.ts";

/** Returns why the backend server gets no new work, or undefined. */
export function getStandingRefusal(
  standing: OwnServerStanding,
  now: number,
): RefusalReason | undefined {
  if (standing.stopping) return RefusalReason.NodeDraining;
  if (standing.zoneTakenOut) return RefusalReason.ZoneTakenOut;
  const { record } = standing;
  if (record === undefined) {
    return standing.probedIdentifier === undefined
      ? RefusalReason.BackendServerUnknown
      : undefined;
  }
  if (record.entry.availability === BackendServerAvailability.Draining) {
    return RefusalReason.BackendServerDraining;
  }
  const { sourceSoundSince } = standing;
  return isGone(record, { sourceSoundSince, now })
    ? RefusalReason.BackendServerLeaving
    : undefined;
}
