import { match } from "ts-pattern";
import type { AdmissionState } from "./admission_state.ts";
import type { CallOutcome } from "./call_outcome.ts";
import { DispatchResult } from "./dispatch_result.ts";

/** A call that had this many times the service time and missed its deadline had time enough. */
const fairFactor = 3;

/**
 * Tells whether the end of a call shows that the backend server has too much to
 * do. A call that began so late that its deadline came first shows nothing.
 */
export function isOverload(
  state: AdmissionState,
  outcome: CallOutcome,
): boolean {
  const { call, context, report } = outcome;
  const ran = context.now - report.dispatchedAt;
  const hadTime = context.now < call.deadline ||
    ran >= fairFactor * state.serviceTime.recentMilliseconds;
  return match(report.result)
    // One refused connection among answered calls: it has no more to give.
    .with(DispatchResult.Shed, DispatchResult.ConnectionRefused, () => true)
    .with(DispatchResult.Broken, () => hadTime)
    .with(DispatchResult.Answered, DispatchResult.Cancelled, () => false)
    .exhaustive();
}
