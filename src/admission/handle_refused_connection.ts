import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { enterDownState } from "./enter_down_state.ts";
import { handleFailedCall } from "./handle_failed_call.ts";

/**
 * Marks a backend server that refused a connection as down, unless a call that
 * was dispatched later was answered.
 */
export function handleRefusedConnection(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { report, context } = outcome;
  const { lastAnsweredDispatchAt, downSince } = state.reachability;
  const isDown = state.backendServerState === BackendServerState.Down;
  if (isDown && report.dispatchedAt < downSince) return state;
  if (lastAnsweredDispatchAt > report.dispatchedAt) {
    return handleFailedCall(state, outcome);
  }
  return enterDownState(state, context);
}
