import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import { DispatchResult } from "./dispatch_result.ts";

const recentWeight = 0.1;
const usualWeight = 0.01;
/** How many times the average one call may count for, so that a single late call says little. */
const largestFactor = 4;

/**
 * Takes a call that has ended into the moving averages. A call that was given
 * up shows only that it would have taken longer still, and counts where it
 * already took longer than the average.
 */
export function observeServiceTime(
  state: AdmissionState,
  options: { readonly report: DispatchReport; readonly now: number },
): AdmissionState {
  const { result, dispatchedAt } = options.report;
  const elapsed = Math.max(0, options.now - dispatchedAt);
  const { samples, recentMilliseconds, usualMilliseconds } = state.serviceTime;
  const isWhole = result === DispatchResult.Answered;
  const isLowerBound = (result === DispatchResult.Cancelled ||
    result === DispatchResult.Broken) && elapsed > recentMilliseconds;
  if (!isWhole && !isLowerBound) return state;
  const counted = samples === 0
    ? elapsed
    : Math.min(elapsed, largestFactor * Math.max(1, recentMilliseconds));
  const follow = (average: number, weight: number) =>
    samples === 0
      ? counted
      : average + Math.max(weight, 1 / (samples + 1)) * (counted - average);
  const learnsUsual = state.backendServerState === BackendServerState.Ready;
  return {
    ...state,
    serviceTime: {
      samples: samples + 1,
      recentMilliseconds: follow(recentMilliseconds, recentWeight),
      usualMilliseconds: learnsUsual
        ? follow(usualMilliseconds, usualWeight)
        : usualMilliseconds,
    },
  };
}
