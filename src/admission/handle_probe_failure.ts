import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterDownState } from "./enter_down_state.ts";
import { shortenLingeringSlots } from "./shorten_lingering_slots.ts";

/**
 * Marks the backend server as down after enough consecutive failed probes,
 * unless a call dispatched since the first of them was answered.
 */
export function handleProbeFailure(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionState {
  const { probing, reachability } = state;
  const consecutiveFailures = probing.consecutiveFailures + 1;
  const failingSince = probing.consecutiveFailures === 0
    ? probing.sentAt
    : probing.failingSince;
  const next: AdmissionState = {
    ...shortenLingeringSlots(state),
    probing: {
      ...probing,
      isInFlight: false,
      consecutiveFailures,
      failingSince,
    },
  };
  const wasCallAnswered = reachability.lastAnsweredDispatchAt >= failingSince;
  // A failed probe does not postpone the trial call, since the endpoint can
  // fail while calls succeed.
  if (state.backendServerState === BackendServerState.Down) return next;
  const isThresholdReached =
    state.backendServerState === BackendServerState.Unknown ||
    consecutiveFailures >= context.policy.downProbeFailures;
  return isThresholdReached && !wasCallAnswered
    ? enterDownState(next, context)
    : next;
}
