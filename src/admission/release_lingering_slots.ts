import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";
import { shortenLingeringSlots } from "./shorten_lingering_slots.ts";

/** The longest time that a call is on its way to the backend server beside the node. */
const maximumArrivalMilliseconds = 5;

/**
 * Frees slots of given-up calls that the backend server has let go of. What it
 * counted beyond the calls that it must have counted are given-up ones at
 * most. A smaller count proves that the endpoint lags, and frees nothing. A
 * call whose answer is on its way here is missing in one count, so that two
 * probes in a row must show it.
 */
export function releaseLingeringSlots(
  state: AdmissionState,
  probe: BackendServerProbe,
): AdmissionState {
  if (isImplausibleCount(state, probe)) return shortenLingeringSlots(state);
  const maximumLingering = probe.running - countRunningAtProbe(state, probe);
  if (maximumLingering < 0) return state;
  const startedBeforeProbe = state.lingering.filter((slot) =>
    slot.since < probe.sentAt
  );
  const startedAfterProbe = state.lingering.filter((slot) =>
    slot.since >= probe.sentAt
  );
  const endedCount = Math.max(0, startedBeforeProbe.length - maximumLingering);
  const ended = startedBeforeProbe.slice(0, endedCount)
    .filter((slot) => !slot.wasFreeInLastProbe)
    .map((slot) => ({ ...slot, wasFreeInLastProbe: true }));
  const kept = startedBeforeProbe.slice(endedCount)
    .map((slot) => ({ ...slot, wasFreeInLastProbe: false }));
  return { ...state, lingering: [...ended, ...kept, ...startedAfterProbe] };
}

/**
 * Tells whether the load endpoint counts calls that cannot be there. Only this
 * node sends calls, and few can have ended while the probe was under way.
 */
function isImplausibleCount(
  state: AdmissionState,
  probe: BackendServerProbe,
): boolean {
  const slots = state.backendServer?.slots ?? 0;
  return probe.running > slots ||
    probe.running > getOccupiedSlots(state) + slots / 2;
}

/**
 * Returns how many running calls a probe must have counted. A ready backend
 * server counted at some instant since the probe was sent, and so at least the
 * fewest that ran here since then; a call on its way there may be missing,
 * which costs a shed at worst. A cold one bears less, and only calls count that
 * had arrived for certain.
 */
function countRunningAtProbe(
  state: AdmissionState,
  probe: BackendServerProbe,
): number {
  if (state.backendServerState === BackendServerState.Ready) {
    return state.probing.minimumRunning;
  }
  const arrivedBefore = probe.sentAt - maximumArrivalMilliseconds;
  return state.running.filter((call) => call.admittedAt < arrivedBefore).length;
}
