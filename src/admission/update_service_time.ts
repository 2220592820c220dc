import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import { DispatchResult } from "./dispatch_result.ts";

const recentWeight = 0.1;
const baselineWeight = 0.01;
/** How many times the average one call may count for, so that a single late call says little. */
const maximumSampleFactor = 4;

/**
 * Takes a call that has ended into the moving averages. A call that was given
 * up shows only that it would have taken longer still, and counts where it
 * already took longer than the average.
 */
export function updateServiceTime(
  state: AdmissionState,
  options: { readonly report: DispatchReport; readonly now: number },
): AdmissionState {
  const { result, dispatchedAt } = options.report;
  const elapsedMilliseconds = Math.max(0, options.now - dispatchedAt);
  const { samples, recentMilliseconds, baselineMilliseconds } =
    state.serviceTime;
  const isAnswered = result === DispatchResult.Answered;
  const isLowerBound = (result === DispatchResult.Cancelled ||
    result === DispatchResult.Broken) &&
    elapsedMilliseconds > recentMilliseconds;
  if (!isAnswered && !isLowerBound) return state;
  const sampleMilliseconds = samples === 0 ? elapsedMilliseconds : Math.min(
    elapsedMilliseconds,
    maximumSampleFactor * Math.max(1, recentMilliseconds),
  );
  const updateAverage = (average: number, weight: number) =>
    samples === 0 ? sampleMilliseconds : average +
      Math.max(weight, 1 / (samples + 1)) * (sampleMilliseconds - average);
  const isBaselineUpdated =
    state.backendServerState === BackendServerState.Ready;
  return {
    ...state,
    serviceTime: {
      samples: samples + 1,
      recentMilliseconds: updateAverage(recentMilliseconds, recentWeight),
      baselineMilliseconds: isBaselineUpdated
        ? updateAverage(baselineMilliseconds, baselineWeight)
        : baselineMilliseconds,
    },
  };
}
