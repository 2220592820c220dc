import { match } from "ts-pattern";
import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { enterColdStart } from "./enter_cold_start.ts";
import { enterDown } from "./enter_down.ts";

interface Options {
  readonly report: DispatchReport;
  readonly context: AdmissionContext;
}

/** Lowers the limit after a call that the backend server shed or broke, once for each limit. */
export function learnFromOverload(
  state: AdmissionState,
  options: Options,
): AdmissionState {
  const { report, context } = options;
  const isShed = report.result === DispatchResult.Shed;
  return match(state.backendServerState)
    .with(
      BackendServerState.Unknown,
      () => isShed ? enterColdStart(state, context.now) : state,
    )
    .with(BackendServerState.Down, () => {
      if (report.dispatchedAt < state.contact.downSince) return state;
      return isShed
        ? enterColdStart(state, context.now)
        : enterDown(state, context);
    })
    .with(BackendServerState.Cold, () => lowerLimit(state, options))
    .with(BackendServerState.Ready, () => {
      const shedInARow = state.limit.shedInARow + (isShed ? 1 : 0);
      if (shedInARow >= context.policy.relapseSheds) {
        return enterColdStart(state, context.now);
      }
      return lowerLimit({
        ...state,
        limit: { ...state.limit, shedInARow },
      }, options);
    })
    .with(BackendServerState.Draining, () => state)
    .exhaustive();
}

function lowerLimit(state: AdmissionState, options: Options): AdmissionState {
  const { report, context } = options;
  if (report.dispatchedAt < state.limit.changedAt) return state;
  return {
    ...state,
    limit: {
      ...state.limit,
      current: Math.max(1, state.limit.current * context.policy.decreaseFactor),
      changedAt: context.now,
      answered: 0,
      answeredWhenFull: 0,
    },
  };
}
