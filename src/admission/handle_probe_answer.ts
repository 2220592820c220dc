import { match } from "ts-pattern";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterColdStart } from "./enter_cold_start.ts";

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
        enterColdStart(holdInherited(answered, { probe, context }), context),
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
 * Frees slots of given-up calls that the backend server has let go of. It
 * counted its calls at some instant since the probe was sent, so that what it
 * counted beyond the fewest that ran here since then are given-up ones at
 * most. A smaller count proves that the endpoint lags, and frees nothing.
 */
function releaseLingering(
  state: AdmissionState,
  probe: BackendServerProbe,
): AdmissionState {
  const givenUp = probe.running - state.probing.fewestRunning;
  if (givenUp < 0) return state;
  const older = state.lingering.filter((slot) => slot.since < probe.sentAt);
  const younger = state.lingering.filter((slot) => slot.since >= probe.sentAt);
  const kept = Math.min(older.length, givenUp);
  return {
    ...state,
    lingering: [...older.slice(older.length - kept), ...younger],
  };
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
