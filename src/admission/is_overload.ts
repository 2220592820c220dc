import { match } from "ts-pattern";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { DispatchResult } from "./dispatch_result.ts";

/** The multiple of the recent service time after which a call that missed its deadline had enough time. */
const sufficientTimeFactor = 3;

/**
 * Returns whether the result of a call indicates overload of the backend server.
 * A broken call that was dispatched too late to meet its deadline does not.
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
    // A refused connection among answered calls means that the backend server
    // accepts no more connections.
    .with(DispatchResult.Shed, DispatchResult.ConnectionRefused, () => true)
    .with(DispatchResult.Broken, () => hadEnoughTime)
    .with(DispatchResult.Answered, DispatchResult.Cancelled, () => false)
    .exhaustive();
}
