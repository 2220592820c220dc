import { BackendServerState } from "../health/backend_server_state.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import { DispatchResult } from "./dispatch_result.ts";

/** The weight of one sample in the moving average of the recent service time. */
const recentWeight = 0.1;
/** The weight of one sample in the moving average of the baseline. */
const baselineWeight = 0.01;
/** The maximum sample, as a multiple of the recent average. It limits the effect of a single slow call. */
const maximumSampleFactor = 4;

/**
 * Updates the moving averages with a call that has ended. The elapsed time of a
 * cancelled or broken call is only a lower bound of its service time, so it is
 * used only if it exceeds the recent average.
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
