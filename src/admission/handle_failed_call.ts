import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { enterDownState } from "./enter_down_state.ts";
import { lowerRampLimit } from "./lower_ramp_limit.ts";
import { isOverload } from "./is_overload.ts";
import { lowerLimit } from "./lower_limit.ts";

/**
 * Handles a shed or broken call, or a refused connection among answered calls:
 * lowers the limit or changes the backend server's state.
 */
export function handleFailedCall(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { call, context, report } = outcome;
  const isShed = report.result === DispatchResult.Shed;
  const isOverloaded = isOverload(state, outcome);
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () => isShed ? enterColdStart(state, context) : state,
    )
    .with(BackendServerState.Down, () => {
      if (report.dispatchedAt < state.reachability.downSince) return state;
      return isShed
        ? enterColdStart(state, context)
        : enterDownState(state, context);
    })
    .with(
      BackendServerState.Cold,
      () => isOverloaded ? lowerRampLimit(state, outcome) : state,
    )
    .with(BackendServerState.Ready, () => {
      const slots = state.backendServer?.slots ?? 1;
      const isBackInColdStart = isShed &&
        call.occupiedSlots <= context.policy.coldStartOccupancy * slots;
      if (isBackInColdStart) return enterColdStart(state, context);
      return isOverloaded ? lowerLimit(state, outcome) : state;
    })
    .with(BackendServerState.Draining, () => state)
    .exhaustive();
}
