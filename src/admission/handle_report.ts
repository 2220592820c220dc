import { match } from "ts-pattern";
import type { AdmissionContext } from "./admission_context.ts";
import type { AdmissionState } from "./admission_state.ts";
import type { DispatchReport } from "./dispatch_report.ts";
import { DispatchResult } from "./dispatch_result.ts";
import { handleAnsweredCall } from "./handle_answered_call.ts";
import { handleRefusedConnection } from "./handle_refused_connection.ts";
import { handleFailedCall } from "./handle_failed_call.ts";
import { updateServiceTime } from "./update_service_time.ts";

/**
 * Releases the slot of a call that has ended, or keeps it as a lingering slot,
 * and adjusts the limit to the result.
 */
export function handleReport(
  state: AdmissionState,
  report: DispatchReport,
  context: AdmissionContext,
): AdmissionState {
  const call = state.running.find((running) =>
    running.callIdentifier === report.callIdentifier
  );
  if (call === undefined) return state;
  const released = releaseSlot(state, report, context);
  const observed = updateServiceTime(released, {
    report,
    now: context.now,
  });
  const outcome = { report, call, context };
  return match(report.result)
    .with(
      DispatchResult.Answered,
      () => handleAnsweredCall(observed, outcome),
    )
    .with(
      DispatchResult.Shed,
      DispatchResult.Broken,
      () => handleFailedCall(observed, outcome),
    )
    .with(
      DispatchResult.ConnectionRefused,
      () => handleRefusedConnection(observed, outcome),
    )
    .with(DispatchResult.Cancelled, () => observed)
    .exhaustive();
}

function releaseSlot(
  state: AdmissionState,
  report: DispatchReport,
  context: AdmissionContext,
): AdmissionState {
  const running = state.running.filter((call) =>
    call.callIdentifier !== report.callIdentifier
  );
  const mayStillRun = report.result === DispatchResult.Cancelled ||
    report.result === DispatchResult.Broken;
  if (!mayStillRun) return { ...state, running };
  return {
    ...state,
    running,
    lingering: [...state.lingering, {
      since: context.now,
      wasFreeInLastProbe: false,
      until: context.now + context.policy.lingeringMilliseconds,
    }],
  };
}
