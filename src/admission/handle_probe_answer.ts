import { match } from "ts-pattern";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { getOccupiedSlots } from "./get_occupied_slots.ts";
import { shortenLingering } from "./shorten_lingering.ts";

/** The longest time that a call is on its way to the backend server beside the node. */
const arrivalMilliseconds = 5;

/** Takes over what the health and load endpoints say, as far as the calls do not show otherwise. */
export function handleProbeAnswer(
  state: AdmissionState,
  probe: BackendServerProbe,
  context: AdmissionContext,
): AdmissionState {
  const wasReported = state.probing.reportedState;
  const answered: AdmissionState = {
    ...releaseLingering(state, probe),
    probing: {
      ...state.probing,
      underWay: false,
      failuresInARow: 0,
      failingSince: 0,
      reportedState: probe.reportedState,
    },
  };
  if (probe.reportedState === "draining") {
    return { ...answered, backendServerState: BackendServerState.Draining };
  }
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () =>
        state.backendServer === undefined ? answered : enterColdStart(
          holdInherited(answered, { probe, context }),
          context,
        ),
    )
    .with(
      BackendServerState.Draining,
      () => enterColdStart(answered, context),
    )
    .with(
      BackendServerState.Down,
      () =>
        probe.sentAt >= state.contact.trialAt
          ? enterColdStart(answered, context)
          : answered,
    )
    .with(
      BackendServerState.Ready,
      // Only the change counts: a server that says so for good is believed no
      // more once its calls have carried the ramp to its end.
      () =>
        probe.reportedState === "cold" && wasReported !== "cold"
          ? enterColdStart(answered, context)
          : answered,
    )
    .with(BackendServerState.Cold, () => answered)
    .exhaustive();
}

/**
 * Frees slots of given-up calls that the backend server has let go of. What it
 * counted beyond the calls that it must have counted are given-up ones at
 * most. A smaller count proves that the endpoint lags, and frees nothing. A
 * call whose answer is on its way here is missing in one count, so that two
 * probes in a row must show it.
 */
function releaseLingering(
  state: AdmissionState,
  probe: BackendServerProbe,
): AdmissionState {
  if (isTooMany(state, probe)) return shortenLingering(state);
  const givenUp = probe.running - countCertain(state, probe);
  if (givenUp < 0) return state;
  const older = state.lingering.filter((slot) => slot.since < probe.sentAt);
  const younger = state.lingering.filter((slot) => slot.since >= probe.sentAt);
  const endedCount = Math.max(0, older.length - givenUp);
  const ended = older.slice(0, endedCount)
    .filter((slot) => !slot.isShownFree)
    .map((slot) => ({ ...slot, isShownFree: true }));
  const kept = older.slice(endedCount)
    .map((slot) => ({ ...slot, isShownFree: false }));
  return { ...state, lingering: [...ended, ...kept, ...younger] };
}

/**
 * Tells whether the load endpoint counts calls that cannot be there. Only this
 * node sends calls, and few can have ended while the probe was under way.
 */
function isTooMany(state: AdmissionState, probe: BackendServerProbe): boolean {
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
function countCertain(
  state: AdmissionState,
  probe: BackendServerProbe,
): number {
  if (state.backendServerState === BackendServerState.Ready) {
    return state.probing.fewestRunning;
  }
  const arrivedBefore = probe.sentAt - arrivalMilliseconds;
  return state.running.filter((call) => call.admittedAt < arrivedBefore).length;
}

/** Holds slots for calls that a former process of this node left behind. */
function holdInherited(
  state: AdmissionState,
  options: {
    readonly probe: BackendServerProbe;
    readonly context: AdmissionContext;
  },
): AdmissionState {
  const { context, probe } = options;
  const slots = state.backendServer?.slots ?? 0;
  const inherited = Math.min(slots, probe.running) -
    state.running.length - state.lingering.length;
  if (inherited <= 0) return state;
  const slot = {
    since: context.now,
    isShownFree: false,
    until: context.now + context.policy.lingeringMilliseconds,
  };
  return {
    ...state,
    lingering: [
      ...state.lingering,
      ...Array.from({ length: inherited }, () => slot),
    ],
  };
}
