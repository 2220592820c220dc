import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";

/** Holds the backend server to be down until a trial call or probe, which is put off longer each time. */
export function enterDownState(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionState {
  const { now, policy, random } = context;
  const backoffMilliseconds = Math.min(
    policy.maximumBackoffMilliseconds,
    Math.max(
      policy.initialBackoffMilliseconds,
      2 * state.reachability.backoffMilliseconds,
    ),
  );
  return {
    ...state,
    backendServerState: BackendServerState.Down,
    reachability: {
      ...state.reachability,
      downSince: state.reachability.downSince || now,
      backoffMilliseconds,
      nextTrialAt: now + backoffMilliseconds * (0.5 + 0.5 * random.next()),
    },
  };
}
