import { match } from "ts-pattern";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterColdStart } from "./enter_cold_start.ts";

/** Takes over what the health and load endpoints say, as far as the calls do not show otherwise. */
export function handleProbeAnswer(
  state: AdmissionState,
  probe: BackendServerProbe,
  now: number,
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
      BackendServerState.Draining,
      () => enterColdStart(answered, now),
    )
    .with(
      BackendServerState.Down,
      () =>
        probe.sentAt >= state.contact.trialAt
          ? enterColdStart(answered, now)
          : answered,
    )
    .with(
      BackendServerState.Ready,
      // Only the change counts: a server that says so for good is believed no
      // more once its calls have carried the ramp to its end.
      () =>
        probe.reportedState === "cold" && wasReported !== "cold"
          ? enterColdStart(answered, now)
          : answered,
    )
    .with(BackendServerState.Cold, () => answered)
    .exhaustive();
}

/**
 * Frees slots of given-up calls that the backend server has let go of. Calls
 * that ran before the probe was sent and still run are certainly among those
 * that it counted, so no more than the rest can be given-up ones. A count
 * below the certain ones proves that the endpoint lags, and frees nothing.
 */
function releaseLingering(
  state: AdmissionState,
  probe: BackendServerProbe,
): AdmissionState {
  const certain =
    state.running.filter((call) => call.admittedAt < probe.sentAt).length;
  if (probe.running < certain) return state;
  const older = state.lingering.filter((slot) => slot.since < probe.sentAt);
  const younger = state.lingering.filter((slot) => slot.since >= probe.sentAt);
  const kept = Math.min(older.length, probe.running - certain);
  return {
    ...state,
    lingering: [...older.slice(older.length - kept), ...younger],
  };
}
