import { match } from "ts-pattern";
import type { BackendServerProbe } from "../health/backend_server_probe.ts";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { reserveInheritedSlots } from "./reserve_inherited_slots.ts";
import { releaseLingeringSlots } from "./release_lingering_slots.ts";

/** Takes over what the health and load endpoints say, as far as the calls do not show otherwise. */
export function handleProbeAnswer(
  state: AdmissionState,
  probe: BackendServerProbe,
  context: AdmissionContext,
): AdmissionState {
  const previousReportedState = state.probing.reportedState;
  const answered: AdmissionState = {
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
    return { ...answered, backendServerState: BackendServerState.Draining };
  }
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () =>
        state.backendServer === undefined ? answered : enterColdStart(
          reserveInheritedSlots(answered, { probe, context }),
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
        probe.sentAt >= state.reachability.nextTrialAt
          ? enterColdStart(answered, context)
          : answered,
    )
    .with(
      BackendServerState.Ready,
      // Only the change counts: a server that says so for good is believed no
      // more once its calls have carried the ramp to its end.
      () =>
        probe.reportedState === "cold" && previousReportedState !== "cold"
          ? enterColdStart(answered, context)
          : answered,
    )
    .with(BackendServerState.Cold, () => answered)
    .exhaustive();
}
