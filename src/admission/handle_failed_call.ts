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

/** Lowers the limit after a call that the backend server shed or broke. */
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
      const isColdStart = isShed &&
        call.occupiedSlots <= context.policy.relapseOccupancy * slots;
      if (isColdStart) return enterColdStart(state, context);
      return isOverloaded ? lowerLimit(state, outcome) : state;
    })
    .with(BackendServerState.Draining, () => state)
    .exhaustive();
}
