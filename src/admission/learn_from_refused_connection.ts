import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { enterDown } from "./enter_down.ts";
import { learnFromOverload } from "./learn_from_overload.ts";

/** Holds a backend server that refused a connection to be down, unless a later call was answered. */
export function learnFromRefusedConnection(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { report, context } = outcome;
  const { answeredDispatchAt, downSince } = state.contact;
  const isDown = state.backendServerState === BackendServerState.Down;
  if (isDown && report.dispatchedAt < downSince) return state;
  if (answeredDispatchAt > report.dispatchedAt) {
    return learnFromOverload(state, outcome);
  }
  return enterDown(state, context);
}
