import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";
import { shortenLingeringSlots } from "./shorten_lingering_slots.ts";

/** The maximum time until a dispatched call reaches the backend server beside the node. */
const maximumArrivalMilliseconds = 5;

/**
 * Frees lingering slots whose calls the backend server has stopped running,
 * according to the load endpoint. The count in excess of the calls that the
 * backend server must have counted is an upper bound of its lingering calls. A
 * lower count shows that the endpoint lags, and frees nothing. One count can miss
 * a running call whose answer is in transit, so two consecutive probes must show
 * that a lingering call has ended.
 */
export function releaseLingeringSlots(
  state: AdmissionState,
  probe: BackendServerProbe,
): AdmissionState {
  if (isImplausibleCount(state, probe)) return shortenLingeringSlots(state);
  const maximumLingering = probe.running - countRunningAtProbe(state, probe);
  if (maximumLingering < 0) return state;
  const lingeringBeforeProbe = state.lingering.filter((slot) =>
    slot.since < probe.sentAt
  );
  const lingeringSinceProbe = state.lingering.filter((slot) =>
    slot.since >= probe.sentAt
  );
  const endedCount = Math.max(
    0,
    lingeringBeforeProbe.length - maximumLingering,
  );
  const ended = lingeringBeforeProbe.slice(0, endedCount)
    .filter((slot) => !slot.wasFreeInLastProbe)
    .map((slot) => ({ ...slot, wasFreeInLastProbe: true }));
  const kept = lingeringBeforeProbe.slice(endedCount)
    .map((slot) => ({ ...slot, wasFreeInLastProbe: false }));
  return { ...state, lingering: [...ended, ...kept, ...lingeringSinceProbe] };
}

/**
 * Returns whether the load endpoint counts more calls than can be running. Only
 * this node sends calls to the backend server, and few can have ended while the
 * probe was in flight.
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
 * server counted at some instant since the probe was sent, so it counted at least
 * the minimum that ran since then. The count can miss a call that is in transit
 * to the backend server, which at worst causes a shed call. A backend server that
 * is not ready has less capacity, so only calls that had certainly arrived are
 * counted.
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
