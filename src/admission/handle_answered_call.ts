import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { raiseRampLimit } from "./raise_ramp_limit.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { isSlowerThanBaseline } from "./is_slower_than_baseline.ts";
import { raiseLimit } from "./raise_limit.ts";

/**
 * Handles a completely answered call: records that the backend server is
 * reachable, and then updates its state or raises the limit.
 */
export function handleAnsweredCall(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { report, context } = outcome;
  const next: AdmissionState = {
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
    .with(BackendServerState.Unknown, () => enterColdStart(next, context))
    .with(
      BackendServerState.Down,
      () =>
        report.dispatchedAt >= state.reachability.downSince
          ? enterColdStart(next, context)
          : state,
    )
    .with(BackendServerState.Cold, () => raiseRampLimit(next, outcome))
    .with(BackendServerState.Ready, () => {
      const factor = context.policy.coldStartServiceTimeFactor;
      return isSlowerThanBaseline(next, { factor })
        ? enterColdStart(next, context)
        : raiseLimit(next, outcome);
    })
    .with(BackendServerState.Draining, () => next)
    .exhaustive();
}
