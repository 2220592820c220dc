import { match } from "ts-pattern";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { reserveInheritedSlots } from "./reserve_inherited_slots.ts";
import { releaseLingeringSlots } from "./release_lingering_slots.ts";

/**
 * Applies the state and load that the backend server reported, except where the
 * results of calls contradict them.
 */
export function handleProbeSuccess(
  state: AdmissionState,
  probe: BackendServerProbe,
  context: AdmissionContext,
): AdmissionState {
  const previousReportedState = state.probing.reportedState;
  const next: AdmissionState = {
    ...releaseLingeringSlots(state, probe),
    probing: {
      ...state.probing,
      isInFlight: false,
      consecutiveFailures: 0,
      failingSince: 0,
      reportedState: probe.reportedState,
    },
  };
  if (probe.reportedState === "draining") {
    return { ...next, backendServerState: BackendServerState.Draining };
  }
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () =>
        state.backendServer === undefined ? next : enterColdStart(
          reserveInheritedSlots(next, { probe, context }),
          context,
        ),
    )
    .with(
      BackendServerState.Draining,
      () => enterColdStart(next, context),
    )
    .with(
      BackendServerState.Down,
      () =>
        probe.sentAt >= state.reachability.trialAt
          ? enterColdStart(next, context)
          : next,
    )
    .with(
      BackendServerState.Ready,
      // Only a change to cold has an effect. A backend server that keeps
      // reporting cold stays ready once its calls have completed the ramp.
      () =>
        probe.reportedState === "cold" && previousReportedState !== "cold"
          ? enterColdStart(next, context)
          : next,
    )
    .with(BackendServerState.Cold, () => next)
    .exhaustive();
}
