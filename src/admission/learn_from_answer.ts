import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { climbRamp } from "./climb_ramp.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { isSlowerThanUsual } from "./is_slower_than_usual.ts";
import { raiseLimit } from "./raise_limit.ts";

/** Raises the limit after a call that was answered whole, as the state of the backend server allows. */
export function learnFromAnswer(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { report, context } = outcome;
  const answered: AdmissionState = {
    ...state,
    contact: {
      ...state.contact,
      backoffMilliseconds: 0,
      answeredDispatchAt: Math.max(
        state.contact.answeredDispatchAt,
        report.dispatchedAt,
      ),
    },
  };
  return match(state.backendServerState)
    .with(BackendServerState.Unknown, () => enterColdStart(answered, context))
    .with(
      BackendServerState.Down,
      () =>
        report.dispatchedAt >= state.contact.downSince
          ? enterColdStart(answered, context)
          : state,
    )
    .with(BackendServerState.Cold, () => climbRamp(answered, outcome))
    .with(BackendServerState.Ready, () => {
      const factor = context.policy.relapseSlowdown;
      return isSlowerThanUsual(answered, { factor })
        ? enterColdStart(answered, context)
        : raiseLimit(answered, outcome);
    })
    .with(BackendServerState.Draining, () => answered)
    .exhaustive();
}
