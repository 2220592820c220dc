import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { enterDown } from "./enter_down.ts";
import { fallDownRamp } from "./fall_down_ramp.ts";
import { isOverload } from "./is_overload.ts";
import { lowerLimit } from "./lower_limit.ts";

/** Lowers the limit after a call that the backend server shed or broke. */
export function learnFromOverload(
  state: AdmissionState,
  outcome: CallOutcome,
): AdmissionState {
  const { call, context, report } = outcome;
  const isShed = report.result === DispatchResult.Shed;
  const isTooMuch = isOverload(state, outcome);
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () => isShed ? enterColdStart(state, context) : state,
    )
    .with(BackendServerState.Down, () => {
      if (report.dispatchedAt < state.contact.downSince) return state;
      return isShed
        ? enterColdStart(state, context)
        : enterDown(state, context);
    })
    .with(
      BackendServerState.Cold,
      () => isTooMuch ? fallDownRamp(state, outcome) : state,
    )
    .with(BackendServerState.Ready, () => {
      const slots = state.backendServer?.slots ?? 1;
      const isRelapse = isShed &&
        call.occupiedSlots <= context.policy.relapseOccupancy * slots;
      if (isRelapse) return enterColdStart(state, context);
      return isTooMuch ? lowerLimit(state, outcome) : state;
    })
    .with(BackendServerState.Draining, () => state)
    .exhaustive();
}
