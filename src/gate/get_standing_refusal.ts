import { RefusalReason } from "../calls/refusal_reason.ts";
import { BackendServerAvailability } from "../register/backend_server_availability.ts";
import type { OwnServerStanding } from "./own_server_standing.ts";

/** How long the source takes, after an outage, to list again the backend servers that live. */
const relistMilliseconds = 2_200;

/**
 * Returns why the backend server gets no new work, or undefined.
 *
 * A removed entry closes the gate only while the source is sound: during an
 * outage entries lapse although their backend servers live.
 */
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
  const isSourceSound = standing.sourceSoundSince + relistMilliseconds <= now;
  if (record.vanishedAt > 0 && isSourceSound) {
    return RefusalReason.BackendServerLeaving;
  }
  return undefined;
}
