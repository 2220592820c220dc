import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import { createLimitState } from "./create_limit_state.ts";

/**
 * Begins a cold start: the limit falls to the cold slots and rises again with
 * answered calls. Without the ramp, the backend server is ready with all its
 * slots.
 */
export function enterColdStart(
  state: AdmissionState,
  context: AdmissionContext,
): AdmissionState {
  const { now, policy } = context;
  const reachability = { ...state.reachability, downSince: 0 };
  if (!policy.coldStartRamp) {
    return {
      ...state,
      reachability,
      backendServerState: BackendServerState.Ready,
      limit: createLimitState(state.backendServer?.slots ?? 1, now),
    };
  }
  return {
    ...state,
    reachability,
    backendServerState: BackendServerState.Cold,
    limit: createLimitState(state.backendServer?.coldSlots ?? 1, now),
  };
}
