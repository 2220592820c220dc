import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterDownState } from "./enter_down_state.ts";
import { shortenLingeringSlots } from "./shorten_lingering_slots.ts";

/** Holds the backend server to be down after enough failed probes, unless calls were answered since. */
export function handleProbeFailure(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionState {
  const { probing, reachability } = state;
  const failuresInARow = probing.consecutiveFailures + 1;
  const failingSince = probing.consecutiveFailures === 0
    ? probing.sentAt
    : probing.failingSince;
  const failed: AdmissionState = {
    ...shortenLingeringSlots(state),
    probing: {
      ...probing,
      isInFlight: false,
      consecutiveFailures: failuresInARow,
      failingSince,
    },
  };
  const wasCallAnswered = reachability.lastAnsweredDispatchAt >= failingSince;
  // A failed probe does not put off the trial call: the endpoint may mislead.
  if (state.backendServerState === BackendServerState.Down) return failed;
  const isThresholdReached =
    state.backendServerState === BackendServerState.Unknown ||
    failuresInARow >= context.policy.downProbeFailures;
  return isThresholdReached && !wasCallAnswered
    ? enterDownState(failed, context)
    : failed;
}
