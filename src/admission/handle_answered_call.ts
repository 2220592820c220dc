import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { raiseRampLimit } from "./raise_ramp_limit.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { isSlowerThanBaseline } from "./is_slower_than_baseline.ts";
import { raiseLimit } from "./raise_limit.ts";

/** Raises the limit after a call that was answered whole, as the state of the backend server allows. */
export function handleAnsweredCall(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { report, context } = outcome;
  const answered: AdmissionState = {
    ...state,
    reachability: {
      ...state.reachability,
      backoffMilliseconds: 0,
      lastAnsweredDispatchAt: Math.max(
        state.reachability.lastAnsweredDispatchAt,
        report.dispatchedAt,
      ),
    },
  };
  return match(state.backendServerState)
    .with(BackendServerState.Unknown, () => enterColdStart(answered, context))
    .with(
      BackendServerState.Down,
      () =>
        report.dispatchedAt >= state.reachability.downSince
          ? enterColdStart(answered, context)
          : state,
    )
    .with(BackendServerState.Cold, () => raiseRampLimit(answered, outcome))
    .with(BackendServerState.Ready, () => {
      const factor = context.policy.relapseSlowdown;
      return isSlowerThanBaseline(answered, { factor })
        ? enterColdStart(answered, context)
        : raiseLimit(answered, outcome);
    })
    .with(BackendServerState.Draining, () => answered)
    .exhaustive();
}
