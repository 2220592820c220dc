import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { enterDown } from "./enter_down.ts";
import { shortenLingering } from "./shorten_lingering.ts";

/** Holds the backend server to be down after enough failed probes, unless calls were answered since. */
export function handleProbeFailure(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionState {
  const { probing, contact } = state;
  const failuresInARow = probing.failuresInARow + 1;
  const failingSince = probing.failuresInARow === 0
    ? probing.sentAt
    : probing.failingSince;
  const failed: AdmissionState = {
    ...shortenLingering(state),
    probing: { ...probing, underWay: false, failuresInARow, failingSince },
  };
  const callsShowOtherwise = contact.answeredDispatchAt >= failingSince;
  // A failed probe does not put off the trial call: the endpoint may mislead.
  if (state.backendServerState === BackendServerState.Down) return failed;
  const isEnough = state.backendServerState === BackendServerState.Unknown ||
    failuresInARow >= context.policy.downProbeFailures;
  return isEnough && !callsShowOtherwise ? enterDown(failed, context) : failed;
}
