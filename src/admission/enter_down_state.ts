import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";

/**
 * Marks the backend server as down. The time until the next trial call or
 * accepted probe doubles with each failure, with jitter.
 */
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
      trialAt: now + backoffMilliseconds * (0.5 + 0.5 * random.next()),
    },
  };
}
