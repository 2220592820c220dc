import { match } from "ts-pattern";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { DispatchResult } from "./dispatch_result.ts";

/** A call that had this many times the service time and missed its deadline had time enough. */
const sufficientTimeFactor = 3;

/**
 * Tells whether the end of a call shows that the backend server has too much to
 * do. A call that began so late that its deadline came first shows nothing.
 */
export function isOverload(
  state: AdmissionState,
  outcome: CallOutcome,
): boolean {
  const { call, context, report } = outcome;
  const elapsedMilliseconds = context.now - report.dispatchedAt;
  const hadEnoughTime = context.now < call.deadline ||
    elapsedMilliseconds >=
      sufficientTimeFactor * state.serviceTime.recentMilliseconds;
  return match(report.result)
    // One refused connection among answered calls: it has no more to give.
    .with(DispatchResult.Shed, DispatchResult.ConnectionRefused, () => true)
    .with(DispatchResult.Broken, () => hadEnoughTime)
    .with(DispatchResult.Answered, DispatchResult.Cancelled, () => false)
    .exhaustive();
}
